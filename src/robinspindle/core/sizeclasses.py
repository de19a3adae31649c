"""Classes of prompts by their length, to tell who is served by size.

Each class is twice as long as the one before, so that a deployment has about ten of
them whatever its prompts are like, and no class is tuned to one deployment.
"""


def find_size_class(tokens: int) -> int:
    """Find the class of a prompt: the least power of two that it does not exceed.

    Args:
        tokens: Tokens of the whole prompt.
    """
    return 1 << max(0, tokens - 1).bit_length()

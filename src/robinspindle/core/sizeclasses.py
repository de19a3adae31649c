"""Classes of prompts by length, to report and balance service by size.

Each class is twice as long as the one before. A deployment thus has about ten classes
whatever its prompts are like, and no class is specific to one deployment.
"""


def find_size_class(tokens: int) -> int:
    """Find the size class of a prompt: the smallest power of two not below its length.

    Args:
        tokens: Tokens of the whole prompt.
    """
    return 1 << max(0, tokens - 1).bit_length()

"""What an engine's memory keeps of the prompts that it has read."""

from collections import OrderedDict

Parts = list[tuple[str, int]]
"""Ids and tokens of a prompt's parts, in order."""


def count_unread(kept: dict[str, int], parts: Parts) -> int:
    """Count the tokens of a prompt behind the first part that is not kept."""
    unread = sum(tokens for _, tokens in parts)
    for id, tokens in parts:
        if id not in kept:
            break
        unread -= tokens
    return unread


def keep(kept: OrderedDict[str, int], parts: Parts, most_tokens: int) -> None:
    """Keep a prompt's parts; the least recently used give way."""
    for id, tokens in parts:
        kept[id] = tokens
        kept.move_to_end(id)
    while sum(kept.values()) > most_tokens:
        kept.popitem(last=False)

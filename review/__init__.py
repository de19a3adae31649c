"""The independent review: cases and what they share."""

"""The OpenAI-compatible bodies: what callers send, and what they get."""

import hashlib
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import msgspec
import pydantic
from pydantic import BaseModel, ConfigDict, Field

from robinspindle.web import HttpError, make_error

CHARACTERS_IN_A_TOKEN = 4
PREFIX_CHARACTERS = 1024
LEAST_PREFIX_CHARACTERS = 512
MOST_TOKENS = 32_768
DEFAULT_TOKENS = 128
DONE = b"data: [DONE]\n\n"
COMMENT = b":\n\n"
"""A part of a stream that its readers pass over."""


class TextPart(BaseModel):
    """A text part of a message."""

    type: Literal["text"]
    text: str


class ChatMessage(BaseModel):
    """A message of a chat."""

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str | list[TextPart] | None = None

    @property
    def text(self) -> str:
        """The message's text."""
        if isinstance(self.content, list):
            return "".join(part.text for part in self.content)
        return self.content or ""


class StreamOptions(BaseModel):
    """Options of a stream."""

    include_usage: bool = False


TokenLimit = Annotated[int, Field(ge=1, le=MOST_TOKENS)]


class CompletionBody(BaseModel):
    """What both kinds of completion share; fields not known here are let pass."""

    model_config = ConfigDict(extra="ignore")

    model: str
    max_tokens: TokenLimit | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    temperature: Annotated[float, Field(ge=0, le=2)] | None = None
    n: Annotated[int, Field(ge=1, le=1)] | None = None

    @property
    def token_limit(self) -> int:
        """Most tokens to generate."""
        return self.max_tokens or DEFAULT_TOKENS

    @property
    def wants_usage(self) -> bool:
        """Whether a stream ends with the usage."""
        return bool(self.stream_options and self.stream_options.include_usage)


class ChatBody(CompletionBody):
    """Body of ``POST /v1/chat/completions``."""

    messages: Annotated[list[ChatMessage], Field(min_length=1)]
    max_completion_tokens: TokenLimit | None = None

    @property
    def token_limit(self) -> int:
        """Most tokens to generate."""
        return self.max_completion_tokens or super().token_limit

    @property
    def prompt(self) -> str:
        """The whole prompt as the engine gets it."""
        parts = [f"<|{message.role}|>{message.text}" for message in self.messages]
        return "".join(parts) + "<|assistant|>"

    @property
    def prefix(self) -> str:
        """The part of the prompt that other requests are likely to share."""
        first = self.messages[0]
        is_shared = first.role in ("system", "developer") and len(self.messages) > 1
        if is_shared and len(first.text) >= LEAST_PREFIX_CHARACTERS:
            return first.text
        return cut_prefix(self.prompt)


class TextBody(CompletionBody):
    """Body of ``POST /v1/completions``."""

    prompt: str

    @property
    def prefix(self) -> str:
        """The part of the prompt that other requests are likely to share."""
        return cut_prefix(self.prompt)


@dataclass(frozen=True)
class Shape:
    """How the answers of one kind of completion look.

    Attributes:
        body: Model of the request's body.
        id_prefix: First letters of an answer's id.
        whole: Value of ``object`` of a whole answer.
        part: Value of ``object`` of a streamed part.
        is_chat: Whether a choice holds a message rather than a text.
    """

    body: type[CompletionBody]
    id_prefix: str
    whole: str
    part: str
    is_chat: bool


CHAT = Shape(ChatBody, "chatcmpl-", "chat.completion", "chat.completion.chunk", True)
TEXT = Shape(TextBody, "cmpl-", "text_completion", "text_completion", False)


@dataclass(frozen=True)
class AnswerHead:
    """What all parts of one answer share."""

    shape: Shape
    request: str
    model: str
    created: int


def cut_prefix(text: str) -> str:
    """Cut the first block of a prompt; a short prompt has none."""
    return text[:PREFIX_CHARACTERS] if len(text) >= PREFIX_CHARACTERS else ""


def parse_body(data: bytes, model: type[BaseModel]) -> Any:
    """Read a JSON body.

    Raises:
        HttpError: If it is not JSON or has wrong fields; all of them are named.
    """
    try:
        return model.model_validate_json(data)
    except pydantic.ValidationError as error:
        raise _explain(error) from None


def count_tokens(text: str) -> int:
    """Estimate the tokens of a text; the engine alone knows the number."""
    return max(1, len(text) // CHARACTERS_IN_A_TOKEN)


def digest_text(text: str) -> str:
    """Return a short digest of a text, empty for an empty one."""
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest() if text else ""


def write_part(head: AnswerHead, text: str, finish: str | None) -> dict[str, Any]:
    """Describe one streamed part."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish, "logprobs": None}
    if head.shape.is_chat:
        choice["delta"] = {"role": "assistant", "content": text} if text else {}
    else:
        choice["text"] = text
    return _write(head, head.shape.part, [choice])


def write_whole(
    head: AnswerHead, text: str, finish: str, usage: dict[str, int]
) -> dict[str, Any]:
    """Describe a whole answer."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish, "logprobs": None}
    if head.shape.is_chat:
        choice["message"] = {"role": "assistant", "content": text, "refusal": None}
    else:
        choice["text"] = text
    return _write(head, head.shape.whole, [choice]) | {"usage": usage}


def write_usage(head: AnswerHead, usage: dict[str, int]) -> dict[str, Any]:
    """Describe the last part of a stream, which holds the usage."""
    return _write(head, head.shape.part, []) | {"usage": usage}


def make_usage(prompt: int, answer: int) -> dict[str, int]:
    """Describe the tokens that a request used."""
    return {
        "prompt_tokens": prompt,
        "completion_tokens": answer,
        "total_tokens": prompt + answer,
    }


def write_event(value: dict[str, Any], id: str = "") -> bytes:
    """Write one server-sent event."""
    head = f"id: {id}\n".encode() if id else b""
    return head + b"data: " + msgspec.json.encode(value) + b"\n\n"


def _write(head: AnswerHead, kind: str, choices: list) -> dict[str, Any]:
    return {
        "id": head.shape.id_prefix + head.request,
        "object": kind,
        "created": head.created,
        "model": head.model,
        "choices": choices,
    }


def _explain(error: pydantic.ValidationError) -> HttpError:
    details = error.errors()
    places = [".".join(str(part) for part in detail["loc"]) for detail in details]
    texts = [
        f"{place}: {detail['msg']}" if place else detail["msg"]
        for place, detail in zip(places, details, strict=True)
    ]
    return make_error(400, "invalid_body", "; ".join(texts), places[0])

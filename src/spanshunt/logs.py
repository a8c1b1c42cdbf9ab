"""Structured logs by loguru: text for people or one JSON object a line."""

import sys

from loguru import logger

from .settings import Logging

_TEXT = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[box]} {message} {extra[fields]}"
)


def set_up_logs(settings: Logging, box: str) -> None:
    """Send logs to standard error as the settings say."""
    logger.remove()
    logger.configure(extra={"box": box, "fields": ""})
    if settings.json:
        logger.add(sys.stderr, level=settings.level, serialize=True)
    else:
        logger.add(sys.stderr, level=settings.level, format=_TEXT)


def log_event(level: str, message: str, **fields: object) -> None:
    """Log an event with fields; never prompt text, answers or credentials."""
    shown = " ".join(f"{name}={value}" for name, value in fields.items())
    logger.opt(depth=1).bind(fields=shown, **fields).log(level, message)

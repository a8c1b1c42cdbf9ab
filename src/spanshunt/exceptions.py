"""Exceptions, with messages made for the person who caused them.

Expected outcomes (a conflict, a refusal, an outage) are values, not exceptions; what is
here either ends a program at start or stops a process whose invariant broke.
"""


class SpanshuntError(Exception):
    """The base of all exceptions of the package."""


class SettingsError(SpanshuntError):
    """A settings file that can't be used.

    Parameters
    ----------
    path : str
        The file.
    field : str
        The path of the field, for example ``$.listen.callers``.
    problem : str
        What was found and what is allowed.
    """

    def __init__(self, path: str, field: str, problem: str) -> None:
        super().__init__(f"{path}: {field}: {problem}")
        self.path = path
        self.field = field
        self.problem = problem


class InvariantError(SpanshuntError):
    """A promise of the program was about to be broken; the process must stop.

    Where only one request is concerned, it is a `RequestInvariantError`, which ends
    that request: to stop the process would cut all the others.

    Parameters
    ----------
    promise : str
        The name of the promise, as in ``docs/PROMISES.md``.
    detail : str
        The values that broke it.
    """

    def __init__(self, promise: str, detail: str) -> None:
        super().__init__(f"invariant {promise} broken: {detail}")
        self.promise = promise
        self.detail = detail


class RequestInvariantError(InvariantError):
    """A promise to one caller was about to be broken; only its request must end."""


class InvalidInputError(SpanshuntError):
    """A document from outside that does not fit its schema.

    Parameters
    ----------
    field : str
        The path of the field.
    problem : str
        What was found and what is allowed.
    """

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem

"""Run coroutines on the daemon's own loop: a future, a task and nothing else."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Generator
from typing import Any, Generic, TypeVar

T = TypeVar("T")

_PENDING = object()


class FutureCancelled(Exception):
    """Tell a waiting coroutine that the result is no longer wanted."""


class Future(Generic[T]):
    """Hold a result that arrives later; callbacks run at once when it does."""

    __slots__ = ("_callbacks", "_exc", "_result")

    def __init__(self) -> None:
        self._result: Any = _PENDING
        self._exc: BaseException | None = None
        self._callbacks: list[Callable[[Future[T]], None]] = []

    def done(self) -> bool:
        """Tell whether a result or an error has been set."""
        return self._result is not _PENDING or self._exc is not None

    def result(self) -> T:
        """Return the result or raise the error that was set."""
        if self._exc is not None:
            raise self._exc
        if self._result is _PENDING:
            raise RuntimeError("the future has no result yet")
        return self._result

    def set_result(self, value: T) -> bool:
        """Set the result unless one is set; return whether this call set it."""
        if self.done():
            return False
        self._result = value
        self._run_callbacks()
        return True

    def set_exception(self, exc: BaseException) -> bool:
        """Set an error unless a result is set; return whether this call set it."""
        if self.done():
            return False
        self._exc = exc
        self._run_callbacks()
        return True

    def cancel(self) -> bool:
        """End the wait with `FutureCancelled`."""
        return self.set_exception(FutureCancelled())

    def add_callback(self, callback: Callable[[Future[T]], None]) -> None:
        """Call `callback` with this future once it is done, at once if it is."""
        if self.done():
            callback(self)
        else:
            self._callbacks.append(callback)

    def _run_callbacks(self) -> None:
        callbacks = self._callbacks
        self._callbacks = []
        for callback in callbacks:
            callback(self)

    def __await__(self) -> Generator[Future[T], None, T]:
        if not self.done():
            yield self
        return self.result()


class Task(Future[T]):
    """Drive one coroutine; its end is the task's result."""

    __slots__ = ("_coro",)

    def __init__(self, coro: Coroutine[Any, Any, T]) -> None:
        super().__init__()
        self._coro = coro

    def step(self, _fut: Future[Any] | None = None) -> None:
        """Run the coroutine until it waits for the next future or ends."""
        try:
            fut = self._coro.send(None)
        except StopIteration as stop:
            self.set_result(stop.value)
        except Exception as exc:
            self.set_exception(exc)
        else:
            fut.add_callback(self.step)


def spawn(coro: Coroutine[Any, Any, T]) -> Task[T]:
    """Start a coroutine now and return its task.

    Parameters
    ----------
    coro : coroutine
        It may await nothing but `Future` objects.

    Returns
    -------
    Task
        Done when the coroutine has returned or raised.
    """
    task = Task(coro)
    task.step()
    return task

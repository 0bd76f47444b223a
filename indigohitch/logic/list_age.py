"""What a list of backends is good for while calls for a newer one fail, so that its age is unknown."""

from ..interface import SECOND
from .state import Backend, CoordinatorState


def is_absence_conclusive(state: CoordinatorState) -> bool:
    """Returns whether a backend that the list lacks is gone: the list may be older than a stored route."""
    return state.is_list_current and not state.failed_list_calls


def is_list_outdated(state: CoordinatorState) -> bool:
    """Returns whether the store names a backend that the list lacks, while calls for a newer list fail."""
    return state.failed_list_calls > 0 and any(
        backend.state == "unheard" and backend.assignments for backend in state.backends.values()
    )


def known_alive(state: CoordinatorState, listed: list[Backend]) -> list[Backend]:
    """Returns the listed backends that may be chosen for slices.

    A backend on an outdated list may have ended, so it must have answered lately.
    """
    if not is_list_outdated(state):
        return listed
    answered_since = state.now - state.settings["report_every"] - SECOND
    return [backend for backend in listed if backend.last_success_at >= max(answered_since, 1)]


def should_ask_again_at_once(state: CoordinatorState) -> bool:
    """Returns whether to ask for the list now that the store is in reach again.

    The calls may have failed for the same reason, and their backoff would only keep the list old.
    """
    return state.failed_list_calls > 0

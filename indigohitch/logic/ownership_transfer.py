"""Ownership transfer of exclusive slices: two backends never receive writes of the same slice at a time."""

from ..interface import SECOND, Order, SetAdmission, SetRoute
from .state import DEPARTING_STATES, CoordinatorState, Slice


def requires_continuous_ownership(settings: dict) -> bool:
    """Returns whether an order is valid only if this coordinator has owned the slice since it was decided.

    While an exclusive slice was owned by another coordinator, its writes may have been opened again and its
    route changed, so a transfer has to begin anew.
    """
    return bool(settings.get("exclusive"))


def orders_allowed_now(state: CoordinatorState, slice_: Slice, orders: list[Order]) -> list[Order]:
    """Returns those orders of a change of owner that may be sent now.

    Proxies apply a change at different times. The slice is therefore first closed to writes, or to all
    methods if its owner departs. The new owner gets its route once no RPC can be in flight to the former one.
    """
    # Where proxies do not apply admission ratios, a slice is closed by the removal of its route.
    closes_by_route = state.settings.get("admission") == "none"
    # In that mode a slice that arrives without a route was closed by its former coordinator.
    if not state.settings.get("exclusive") or not (slice_.stored_routes or closes_by_route):
        return orders
    methods_to_close = (
        ()
        if closes_by_route or any(backend.state in DEPARTING_STATES for backend in slice_.stored_routes)
        else tuple(
            index for index, is_write in enumerate(state.settings.get("method_writes") or ()) if is_write
        )
    )
    if (
        slice_.stored_routes
        and orders
        and (
            slice_.closed_methods not in ((), methods_to_close)
            or state.last_join_at > slice_.closed_at
            and not closes_by_route
        )
    ):
        return (
            [SetRoute(slice_.number, backend.id, 0.0) for backend in slice_.stored_routes]
            if closes_by_route
            else [SetAdmission(slice_.number, methods_to_close, 0.0, 1)]
        )
    if orders and not is_closed_everywhere(state, slice_, closes_by_route):
        return []
    return [*reversed(orders), SetAdmission(slice_.number, (), slice_.admission_ratio, 1)]


def is_closed_everywhere(state: CoordinatorState, slice_: Slice, closes_by_route: bool) -> bool:
    """Returns whether all proxies have closed the slice and no RPC can be in flight any more.

    A proxy that joins after the close gets the stored routes, but not the admission ratios.
    """
    if state.channel.unacked.get(slice_.closing_marker, (0, ()))[1]:
        return False
    slice_.quiet_since = slice_.quiet_since or state.now
    quiet_at = max(
        slice_.quiet_since,
        *state.departed_proxies.values(),
        slice_.owned_since + state.settings.get("keeps_writing", 0),
    ) + state.settings.get("settle", 0)
    # Ticks for which a proxy may be without a route, less a quarter for the transit of the update.
    max_closed = state.settings.get("bare_limit", SECOND) * 3 // 4
    return state.now >= (min(quiet_at, slice_.closed_at + max_closed) if closes_by_route else quiet_at)

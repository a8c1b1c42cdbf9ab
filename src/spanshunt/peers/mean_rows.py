"""Rows of the means over all boxes in news: demand, arrivals, and busy boxes."""

from ..ids import Millis
from ..ids import ServiceId
from ..systems.arrivals import Arrival
from ..systems.arrivals import apply_answered_arrivals
from ..systems.arrivals import apply_called_arrivals
from ..systems.arrivals import arrivals_to_send
from ..systems.busy_boxes import busy_to_send
from ..systems.busy_boxes import merge_busy_box
from ..systems.demand import DemandRow
from ..systems.demand import apply_answered_demands
from ..systems.demand import apply_called_demands
from ..systems.demand import demands_to_send
from ..systems.sharing import services_short_of_room
from ..systems.throttling import has_limited_workers
from ..tables.fleet import Fleet
from ..tables.rates import BusyBox
from .news import News
from .news_items import ArrivalNews
from .news_items import BusyBoxNews
from .news_items import DemandNews


def demands_news(fleet: Fleet, now: Millis) -> tuple[DemandNews, ...]:
    """Return the demands to call a peer with, of services that are short of room."""
    if not fleet.org_demands:
        return ()
    services = services_short_of_room(fleet, now)
    return _to_demand_news(demands_to_send(fleet, services, now))


def answer_demands(
    fleet: Fleet, called: tuple[DemandNews, ...], now: Millis
) -> tuple[DemandNews, ...]:
    """Apply the demands in a peer's call; return those for the answer."""
    return _to_demand_news(apply_called_demands(fleet, _to_demands(called), now))


def apply_demand_answer(fleet: Fleet, called: News, answer: News, now: Millis) -> None:
    """Apply the demands in a peer's answer to a call of this box."""
    apply_answered_demands(
        fleet, _to_demands(called.demands), _to_demands(answer.demands), now
    )


def arrivals_news(fleet: Fleet, now: Millis) -> tuple[ArrivalNews, ...]:
    """Return the means to call a peer with, of services whose room is shared out."""
    services = _scarce_services(fleet)
    return _to_arrival_news(arrivals_to_send(fleet, services, now))


def _scarce_services(fleet: Fleet) -> set[ServiceId]:
    """Return the services that are short of room, or that have limited workers."""
    return {
        service
        for service in fleet.arrivals
        if service in fleet.short_services or has_limited_workers(fleet, service)
    }


def busy_boxes_news(fleet: Fleet, now: Millis) -> tuple[BusyBoxNews, ...]:
    """Return the busy boxes to tell a peer of, of services whose room is shared out."""
    return tuple(
        BusyBoxNews(service, box, row.per_s, now - row.at)
        for service, box, row in busy_to_send(fleet, _scarce_services(fleet), now)
    )


def merge_busy_boxes_news(fleet: Fleet, news: News, now: Millis) -> list[BusyBoxNews]:
    """Merge the busy boxes in a peer's message; return those not known as busy."""
    new = []
    for item in news.busy_boxes:
        row = BusyBox(item.per_s, Millis(now - max(0, item.age_ms)))
        if merge_busy_box(fleet, item.service, item.box, row, now):
            new.append(item)
    return new


def answer_arrivals(
    fleet: Fleet, called: tuple[ArrivalNews, ...], now: Millis
) -> tuple[ArrivalNews, ...]:
    """Apply the means in a peer's call; return those for the answer."""
    return _to_arrival_news(apply_called_arrivals(fleet, _to_arrivals(called), now))


def apply_arrival_answer(fleet: Fleet, called: News, answer: News, now: Millis) -> None:
    """Apply the means in a peer's answer to a call of this box."""
    apply_answered_arrivals(
        fleet, _to_arrivals(called.arrivals), _to_arrivals(answer.arrivals), now
    )


def _to_arrival_news(arrivals: list[Arrival]) -> tuple[ArrivalNews, ...]:
    return tuple(ArrivalNews(service, per_s) for service, per_s in arrivals)


def _to_arrivals(items: tuple[ArrivalNews, ...]) -> list[Arrival]:
    return [(item.service, item.per_s) for item in items]


def _to_demand_news(rows: list[DemandRow]) -> tuple[DemandNews, ...]:
    return tuple(DemandNews(service, org, per_s) for (service, org), per_s in rows)


def _to_demands(items: tuple[DemandNews, ...]) -> list[DemandRow]:
    return [((item.service, item.org), item.per_s) for item in items]

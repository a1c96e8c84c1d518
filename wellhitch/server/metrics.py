"""Metrics in the Prometheus text format, made on request from the integer counters of the switch."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from wellhitch.server.switch import Switch


class _Counts(Collector):
    def __init__(self, switch: Switch) -> None:
        self.switch = switch

    def collect(self) -> Iterator[Metric]:
        """All metric families, with the current values of the switch."""
        families: dict[str, CounterMetricFamily] = {}
        for name, count in sorted(self.switch.counts.items()):
            family, _, kind = name.partition(".")
            metric = families.get(family)
            if metric is None:
                metric = families[family] = CounterMetricFamily(
                    f"wellhitch_{family}", f"{family.replace('_', ' ')}, by kind", labels=["kind"]
                )
            metric.add_metric([kind], count)
        yield from families.values()
        yield GaugeMetricFamily("wellhitch_held", "dialogues held", value=len(self.switch.calls))
        yield GaugeMetricFamily("wellhitch_owed", "answers owed", value=self.switch.unanswered)
        yield GaugeMetricFamily(
            "wellhitch_own_price", "price of the own processor", value=self.switch.exchange.own_price
        )


def exposition(switch: Switch) -> bytes:
    """The metrics of a call server in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Counts(switch))
    return generate_latest(registry)

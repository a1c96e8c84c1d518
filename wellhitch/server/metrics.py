"""Counters in Prometheus' text form. The switch counts in plain whole numbers; they are turned when asked for."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from wellhitch.server.switch import Switch


class _Counts(Collector):
    def __init__(self, switch: Switch) -> None:
        self.switch = switch

    def collect(self) -> Iterator[Metric]:
        """All families, made from the switch as it is now."""
        kinds: dict[str, CounterMetricFamily] = {}
        for name, count in sorted(self.switch.counts.items()):
            family, _, kind = name.partition(".")
            metric = kinds.get(family)
            if metric is None:
                metric = kinds[family] = CounterMetricFamily(
                    f"wellhitch_{family}", f"{family.replace('_', ' ')}, by kind", labels=["kind"]
                )
            metric.add_metric([kind], count)
        yield from kinds.values()
        yield GaugeMetricFamily("wellhitch_held", "dialogues held", value=len(self.switch.calls))
        yield GaugeMetricFamily("wellhitch_owed", "answers owed", value=self.switch.unanswered)
        yield GaugeMetricFamily(
            "wellhitch_own_price", "price of the own processor", value=self.switch.exchange.own_price
        )


def exposition(switch: Switch) -> bytes:
    """The text that a Prometheus server reads."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Counts(switch))
    return generate_latest(registry)

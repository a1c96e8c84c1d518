"""The settings of a trial's call servers, in the form in which the platform writes them."""

from typing import Any

from wellhitch.lab.trials.plan import TrialPlan

RELEASE_WAIT_S = 0.2
DRAIN_GRACE_S = 0.25
CLASSES = ("quick", "patient")


def settings_for(plan: TrialPlan, cell: int) -> dict[str, Any]:
    """The settings in the form in which the platform writes them."""
    return {
        "balancers": plan.servers,
        "classes": [
            {
                "name": name,
                "importance": 1.0,
                "late_value": 0.25,
                "objective_ns": int(deadline * 3e8),
                "deadline_ns": int(deadline * 1e9),
                "semantics": "retryable",
                "group": "all",
            }
            for name, deadline in zip(CLASSES, plan.deadlines_s, strict=True)
        ],
        "family_info": {
            "self_no": cell,
            "topology": "meshed",
            "clear_wait_ns": int(RELEASE_WAIT_S * 1e9),
            "class_hold_ns": [int(plan.hold_s * 1e9)] * len(CLASSES),
            "circuits_by_class": [1] * len(CLASSES),
        },
        "limits": {
            "most_tries": 5,
            "max_open": 20000,
            "connect_timeout_ns": 500_000_000,
            "may_cancel": True,
            "probes": plan.may_probe,
        },
        "rules": {
            "drain_grace_ns": int(DRAIN_GRACE_S * 1e9),
            "cold_from": 0.33,
            "cold_ns": 15_000_000_000,
            "fall_multiple": 2.5,
            "tip_after_ns": 2_000_000_000,
        },
    }

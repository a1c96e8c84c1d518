"""Turns a day file that the operators' bench draws into one of ours. Pure: a plain value in, a plain value out.

What is carried over keeps its meaning; what is not is named, each with why, and what is not known is named too.
Nothing is dropped in silence. docs/design/call-server.md tells where the two kinds of day differ.
"""

from collections import defaultdict
from typing import Any

from wellhitch.settings.checked import InvalidSettings

Plain = dict[str, Any]

NOT_CARRIED = {
    "noise": "the bench's own draw of chance; ours goes by the seed",
    "tick": "our call servers act on each event, not once a tick",
    "epoch": "our clocks start where they like",
    "entry": "callers of an exchange call their own call server",
    "front_notice": "there is no front",
    "tenants": "not yet: the ledger brings tenants",
    "kind": "a word for people",
    "site": "a word for people",
    "family": "trunks is the only family with exchanges",
    "prices": "deductions are the bench's own account",
    "goal": "shown beside, not played",
    "genes": "how the bench drew the day",
    "unlock": "how the bench drew the day",
    "wire": "our server has a wire of its own",
    "v": "the form's version",
}
"""Top keys of a bench day that are not played, and why."""

READ = {
    "length", "tail", "zones", "net", "traffic", "clients", "discovery", "allow", "drain_grace", "fall_multiple",
    "fall_for", "classes", "tiers", "servers", "balancers", "troubles", "fam",
}  # fmt: skip
FAM_READ = {
    "advice", "cancel_drops", "capacity", "drift", "drift_cv", "far", "finish_first", "follow", "hold", "hot_lines",
    "look", "n", "peer_work", "pull", "queue", "reject", "release", "size", "tells_wait", "width",
}  # fmt: skip
FAM_NOT_CARRIED = {
    "class_cells": "pools",
    "erl": "the bench's plan; sizes and traffic follow from it",
    "hot_redials": "callers of one number redial as all do",
    "pools": "checked: only meshes are played",
    "repeat": "no set-up is sent again by itself",
    "resend": "no set-up is sent again by itself",
    "second_hold": "pools",
    "tandem_price": "deductions are the bench's own account",
    "told": "group counts are told every 50 ms",
}


SAFE = "every use case may be dialled again; nothing is dropped as a repeat"
NO_CONNECTIONS = "links are kept up; a set-up opens none"
ONE_LINE = "a processor is one line here"
PARTS: dict[str, tuple[set[str], Plain]] = {
    "net": ({"same", "cross", "jitter"}, {"client": "callers stand 20 us from their call server"}),
    "traffic": (
        {"load", "shape", "zone_share", "burst_cv", "burst_ms"},
        {
            "hint_cv": "no hints of work",
            "keys": "each dialogue calls a number of its own",
            "key_zipf": "each dialogue calls a number of its own",
            "over_share_worth": "no tenants yet",
            "worth_by_work": "payoff counts by dialogue",
        },
    ),
    "clients": (
        {
            "retries",
            "try_share",
            "backoff",
            "backoff_us",
            "honour",
            "max_retry_after",
            "impatient",
            "marks_retry",
        },
        {},
    ),
    "discovery": (
        {"ask", "notice", "silent_notice", "add", "spread"},
        {
            "period": "our register tells each change by itself",
            "lines_per_s": "our register has no bounded capacity",
            "call_lines": "our register has no bounded capacity",
            "overbook": "our register has no bounded capacity",
            "timeout": "our register pushes; nothing is asked",
        },
    ),
    "allow": (
        {"max_attempts", "cancel", "probes", "peers", "retry_after", "max_open"},
        {
            "second_copies": "rule 2 forbids them",
            "cpu_us_per_s": "the bench's own account",
            "cpu_us_per_request": "the bench's own account",
            "peer_delay": "words go over links with the net's own times",
        },
    ),
    "classes": (
        {"name", "share", "work", "aim", "deadline", "worth", "late_worth", "attempt_noise"},
        {
            "cv": "work is drawn by attempt_noise alone",
            "dist": "work is drawn by attempt_noise alone",
            "effect": SAFE,
            "group": SAFE,
            "window": SAFE,
            "write": SAFE,
            "io": "no work beside the processor's",
            "stream": "every dialogue holds its circuits until it ends",
        },
    ),
    "servers": (
        {"zone", "cell", "speed"},
        {
            "kind": "one kind",
            "special": "one kind",
            "tier": "one tier",
            "up": "all start up",
            "weight": "the list names no weights",
        },
    ),
    "balancers": (
        {"zone", "weight"},
        {"on": "all are on", "start": "all start together", "tier": "one tier"},
    ),
    "tiers": (
        {"kinds", "report_how", "report_fields", "stated_cold", "stated_cold_from"},
        {
            "name": "a word for people",
            "calls": "one tier",
            "work": "one tier",
            "weights": "the list names no weights",
            "report_period": "loads are told as they are",
            "report_delay": "loads are told as they are",
            "report_noise": "loads are told as they are",
            "probe_cap_per_core": "probes wait in line as other work does",
            "probe_deep": "probes wait in line as other work does",
            "probe_timeout": "the call server's own, 250 ms",
            "probe_work": "a probe costs a look",
            "connect_timeout": "a lost link is known at once",
            "conn_cap_per_core": NO_CONNECTIONS,
            "conn_full_tax": NO_CONNECTIONS,
            "conn_idle": NO_CONNECTIONS,
            "handshake_rtts": NO_CONNECTIONS,
            "handshake_work": NO_CONNECTIONS,
            "streams": NO_CONNECTIONS,
        },
    ),
    "tiers.kinds": (
        {"cold", "cold_from", "error_rate"},
        {
            "name": "a word for people",
            "cancel": "fam.cancel_drops tells",
            "drops_expired": "fam.cancel_drops tells",
            **dict.fromkeys(("cores", "slots", "queue", "thrash", "knee", "holds_slot"), ONE_LINE),
            **dict.fromkeys(("pause", "pause_every", "pause_grow"), "no pauses of single processors"),
            "warm_by_requests": "warm by time",
        },
    ),
}
"""The keys read of each part, and those that are not, with why."""


def convert(bench: Any, name: str, seed: int) -> tuple[Plain, list[str]]:
    """Our day and the lines that tell what was not carried over. Raises InvalidSettings where it cannot be ours."""
    if not isinstance(bench, dict) or not isinstance(bench.get("fam"), dict):
        raise InvalidSettings(name, ["not a day file of the bench: no object with `fam`"])
    missing = sorted(READ - set(bench)) + sorted(f"fam.{key}" for key in FAM_READ - set(bench["fam"]))
    if missing:
        raise InvalidSettings(name, [f"{key}: missing" for key in missing])
    fam = bench["fam"]
    if fam["pools"]:
        raise InvalidSettings(
            name, ["fam.pools = true: pools of agents are not played, only meshes of exchanges"]
        )
    notes = [f"{key}: not carried over: {NOT_CARRIED[key]}" for key in bench if key in NOT_CARRIED]
    notes += [
        f"{key}: not known, not carried over" for key in bench if key not in NOT_CARRIED and key not in READ
    ]
    notes += _unread("fam", fam, FAM_READ, FAM_NOT_CARRIED)
    for path, (read, not_carried) in PARTS.items():
        name_of_part, _, below = path.partition(".")
        part = bench[name_of_part]
        if isinstance(part, list):
            part = part[0] if part else {}
        if below:
            part = part[below][0]
        notes += _unread(path, part, read, not_carried)
    day: Plain = {
        "name": name,
        "seed": seed,
        "length": us(bench["length"]),
        "tail": "30s",
        "use_cases": _use_cases(bench),
        "rules": _rules(bench),
        "limits": _limits(bench),
        "net": _net(bench["net"]),
        "callers": _callers(bench["clients"]),
        "offices": _offices(bench),
        "register": _register(bench["discovery"], notes),
        "exchanges": _exchanges(bench),
        "groups": _groups(fam),
        "shape": [[float(at), float(times)] for at, times in bench["traffic"]["shape"]],
    }
    if fam["drift"] and fam["drift_cv"]:
        day["drift"] = {"every": us(fam["drift"]), "cv": fam["drift_cv"]}
    if bench["traffic"].get("burst_cv") and bench["traffic"].get("burst_ms"):
        day["bursts"] = {"every": us(bench["traffic"]["burst_ms"] * 1000), "cv": bench["traffic"]["burst_cv"]}
    if fam["advice"]:
        day["centre"] = {"period": us(fam["advice"]), "late": "50ms"}
    day["troubles"] = _troubles(bench, notes)
    return day, notes


def _unread(path: str, part: Plain, read: set[str], not_carried: Plain) -> list[str]:
    """A line for each key of a part that is not played, with why, or that it is not known."""
    return [
        f"{path}.{key}: not carried over: {not_carried[key]}"
        if key in not_carried
        else f"{path}.{key}: not known, not carried over"
        for key in part
        if key not in read
    ]


def us(value: float) -> str:
    """A span of whole microseconds as the settings write it."""
    return f"{round(value)}us"


def _use_cases(bench: Plain) -> list[Plain]:
    fam = bench["fam"]
    return [
        {
            "name": row["name"],
            "share": row["share"],
            "payoff": row["worth"],
            "agreed_time": us(row["aim"]),
            "outer_limit": us(row["deadline"]),
            "late_share": row["late_worth"],
            "width": fam["width"][at],
            "hold": us(fam["hold"][at]),
        }
        for at, row in enumerate(bench["classes"])
    ]


def _rules(bench: Plain) -> Plain:
    tier = bench["tiers"][0]
    return {
        "release_wait": us(bench["fam"]["release"]),
        "drain_grace": us(bench["drain_grace"]),
        "cold_share": tier["stated_cold_from"],
        "cold_for": us(tier["stated_cold"]),
        "cold_multiple": bench["fall_multiple"],
        "cold_window": us(bench["fall_for"]),
    }


def _limits(bench: Plain) -> Plain:
    allow, clients = bench["allow"], bench["clients"]
    return {
        "most_dials": allow["max_attempts"],
        "may_cancel": allow["cancel"],
        "may_probe": allow["probes"],
        "may_tell_peers": allow["peers"],
        "longest_retry_after": us(clients["max_retry_after"] if allow["retry_after"] else 0),
        "marks_redials": clients["marks_retry"],
        "max_open": allow["max_open"],
    }


def _net(net: Plain) -> Plain:
    # The bench's jitter lies on both sides of the mean, ours on top of the least.
    spread = net["jitter"]
    return {
        "here": "20us",
        "same": us(net["same"] * (1 - spread / 2)),
        "cross": us(net["cross"] * (1 - spread / 2)),
        "jitter": min(1.0, spread),
    }


def _callers(clients: Plain) -> Plain:
    return {
        "retries": clients["retries"],
        "patience": clients["try_share"],
        "pause": us(clients["backoff_us"] if clients["backoff"] != "none" else 10_000),
        "doubles": clients["backoff"] == "exp",
        "heeds": clients["honour"],
        "impatient": clients["impatient"],
    }


def _offices(bench: Plain) -> Plain:
    fam, tier = bench["fam"], bench["tiers"][0]
    kind = tier["kinds"][0]
    names = {"util": "utilisation", "latency_ms": "wait", "qps": "takes", "eps": "hold_back"}
    told = [names[field] for field in tier["report_fields"] if field in names]
    reports = ",".join(told) if tier["report_how"] != "none" and fam["far"] != "none" and told else "none"
    return {
        "queue": us(fam["queue"]),
        "look": fam["look"],
        "reject": fam["reject"],
        "follow": fam["follow"],
        "word": fam["peer_work"],
        "cold_share": min(1.0, kind["cold_from"]),
        "cold_for": us(kind["cold"]),
        "finish_first": fam["finish_first"],
        "cancel_drops": fam["cancel_drops"],
        "tells_wait": fam["tells_wait"],
        "reports": reports,
        "error_rate": kind["error_rate"],
        "noise": bench["classes"][0].get("attempt_noise", 0.0),
        "lines": max(1, fam["hot_lines"]),
    }


def _register(discovery: Plain, notes: list[str]) -> Plain:
    if discovery["ask"]:
        notes.append("discovery.ask: not carried over: our register pushes to every link")
    return {
        "notice": us(discovery["notice"]),
        "silent_notice": us(discovery["silent_notice"]),
        "add": us(discovery["add"]),
        "spread": us(discovery["spread"]),
    }


def _exchanges(bench: Plain) -> list[Plain]:
    """Traffic: load x capacity dialogues a second, shared by zones, within a zone by the streams' weights, then
    by where each exchange's dialogues go."""
    fam, traffic, streams = bench["fam"], bench["traffic"], bench["balancers"]
    zone_weight: dict[int, float] = defaultdict(float)
    for stream in streams:
        zone_weight[stream["zone"]] += stream["weight"]
    total = sum(traffic["zone_share"][zone] for zone in zone_weight)
    out = []
    for number in range(fam["n"]):
        stream, server = streams[number], bench["servers"][number]
        zone = stream["zone"]
        share = traffic["zone_share"][zone] / total * stream["weight"] / zone_weight[zone]
        rate = traffic["load"] * fam["capacity"] * share
        pull = fam["pull"][number]
        whole = sum(pull) or 1.0
        out.append(
            {
                "number": number,
                "zone": bench["zones"][server["zone"]],
                "setup": us(bench["classes"][0]["work"] / server["speed"]),
                "calls": {
                    str(to): rate * share_to / whole for to, share_to in enumerate(pull) if share_to > 0
                },
            }
        )
    return out


def _groups(fam: Plain) -> list[Plain]:
    n = fam["n"]
    return [
        {"ends": [a, b], "size": fam["size"][a * n + b] or fam["size"][b * n + a]}
        for a in range(n)
        for b in range(a + 1, n)
        if fam["size"][a * n + b] or fam["size"][b * n + a]
    ]


PLAYED = {
    "slow", "hang", "answer_lost", "burst", "hot_caller", "give_up", "neighbour", "shared_slow", "report_late",
    "balancer_crash", "ageing", "mass_restart", "crash",
}  # fmt: skip


def _troubles(bench: Plain, notes: list[str]) -> list[Plain]:
    out: list[Plain] = []
    for at, trouble in enumerate(bench["troubles"]):
        kind, how = trouble["kind"], trouble.get("how") or ""
        numbers = [bench["servers"][who]["cell"] for who in trouble["on"]]
        line: Plain = {
            "kind": kind,
            "at": us(trouble["at"]),
            "length": us(trouble["len"]),
            "on": numbers,
            "size": trouble["size"],
            "extra": trouble["extra"],
        }
        if kind == "answer_lost":
            if how not in ("silence", "reset"):
                notes.append(f"troubles[{at}].how = {how!r}: not known, played as silence")
                how = "silence"
            out.append({**line, "how": how})
        elif kind == "deploy":
            for step in trouble["steps"]:
                struck = [bench["servers"][who]["cell"] for who in step["stop"]]
                out.append({**line, "at": us(step["at"]), "length": "0us", "on": struck, "size": 1.0})
        elif kind == "origin_slow":
            zone = trouble["which"]
            there = [
                server["cell"] for server in bench["servers"][: bench["fam"]["n"]] if server["zone"] == zone
            ]
            out.append({**line, "on": there[:1]})
        elif kind in PLAYED:
            if how not in ("", "short", "restart"):
                notes.append(f"troubles[{at}].how = {how!r} of {kind}: not known, played as usual")
            out.append(line)
        else:
            notes.append(f"troubles[{at}].kind = {kind!r}: not known, not played")
    return out

"""Explanations as text for operators."""

from __future__ import annotations

from typing import Any

Section = dict[str, Any]

LABEL_WIDTH = 12


def describe(found: Section) -> list[str]:
    """Returns the lines of an explanation."""
    lines = describe_basis(found)
    refusal = found["refusal"]
    if refusal is not None:
        lines.append(line("result", describe_refusal(refusal)))
    elif "sent" in found:
        lines += describe_sent("result", found["sent"])
    if "sent_after_canary" in found:
        count = found["canaries"]
        lines.append(line("canaries", f"{count} first, the others after it:"))
        lines += describe_sent("then", found["sent_after_canary"])
    if "shards" in found:
        lines += describe_shards(found["shards"])
    if "upstreams" in found:
        lines += describe_upstreams(found["service"], found["upstreams"])
    if "peers" in found:
        lines += describe_peers(found["peers"])
    if "quota" in found:
        lines.append(line("quota", describe_quota(found["quota"])))
    lines += [
        line(
            "overflow",
            f"{one['fraction']} of {one['data_centre']} is sent elsewhere "
            f"(delay {one['delay_ms']} ms, {one['age_ms']} ms ago)",
        )
        for one in found.get("overflow", [])
    ]
    return lines


def describe_quota(quota: Section) -> str:
    """Describes the quota of an account and who decides on it."""
    state = "metered" if quota["metered"] else "open"
    text = (
        f"{quota['rate']} per second and a burst of {quota['burst']}, "
        f"{state}, ledger {quota['ledger']}"
    )
    if "tokens" in quota:
        return f"{text} (this instance), tokens {quota['tokens']}"
    text += f", heard of {quota['heard_ms']} ms ago"
    if quota["refused_for_ms"]:
        return f"{text}; refused for {quota['refused_for_ms']} ms"
    return f"{text}; asks for a token" if quota["asks_for_token"] else text


def line(label: str, text: str) -> str:
    """Returns one line with a label."""
    return f"{label:<{LABEL_WIDTH}}{text}"


def describe_basis(found: Section) -> list[str]:
    """Describes the request and what the instance bases its decision on."""
    request, instance = found["request"], found["instance"]
    basis = (
        f"{instance.get('name', '')} in {instance['data_centre']}, "
        f"configuration {instance['config_version']}, "
        f"store confirmed {instance['store_age_ms']} ms ago, "
        f"last response {instance['response_age_ms']} ms ago"
    )
    if not instance.get("ready", True):
        basis += ", not ready"
    if instance["cut_off"]:
        basis += ", cut off from all upstreams"
    lines = [
        line(
            "request",
            f"{request['method']} {request['host']}{request['target']}",
        ),
        line("instance", basis),
    ]
    if instance["evacuated"]:
        lines.append(line("evacuated", ", ".join(instance["evacuated"])))
    route = found.get("route")
    if route is not None:
        kind = f"{route['shards']} shards" if route["shards"] else "one service"
        lines.append(
            line(
                "route",
                f"{route['name']} ({route['prefix']}), {kind}, "
                f"target {route['target_ms']} ms",
            )
        )
    if "urgency" in found:
        account = found["account"]
        name = "none in this configuration"
        if account is not None:
            name = account["name"] or "anonymous"
        homes = "anywhere"
        if found["homes"] is not None:
            homes = ", ".join(found["homes"]) or "no region"
        lines.append(line("account", f"{name}, urgency {found['urgency']}"))
        lines.append(line("homes", homes))
    return lines


def describe_refusal(refusal: Section) -> str:
    """Describes a refusal."""
    text = f"refused at once: {refusal['outcome']}"
    if refusal["why"]:
        text += f" ({refusal['why']})"
    if refusal["retry_after_ms"] is not None:
        text += f", retry after {refusal['retry_after_ms']} ms"
    return text


def describe_sent(label: str, sent: Section) -> list[str]:
    """Describes what is sent where."""
    how = "relayed to" if sent["relayed"] else "delegated to"
    lines = [
        line(label, f"{count} to upstreams in {place}")
        for place, count in sent["by_data_centre"].items()
    ]
    if len(sent["upstreams"]) == 1:
        (upstream,), (place,) = (
            sent["upstreams"].values(),
            sent["by_data_centre"],
        )
        lines = [line(label, f"sent to {upstream} in {place}")]
    lines += [
        line(
            label,
            f"{one['parts']} {how} {one['peer']} in {one['data_centre']}",
        )
        for one in sent["to_peers"]
    ]
    if sent["held_back"]:
        lines.append(line(label, f"{sent['held_back']} wait for a canary"))
    if sent["waiting_for_rate_limit"]:
        lines.append(
            line(
                label,
                f"{sent['waiting_for_rate_limit']} wait for a rate limit, "
                f"{sent['longest_wait_ms']} ms at most",
            )
        )
    return lines or [line(label, "nothing is sent at once")]


def describe_shards(shards: Section) -> list[str]:
    """Describes where shards are held, and which are left out."""
    places = ", ".join(
        f"{count} in {place}"
        for place, count in shards["held_by_data_centre"].items()
    )
    lines = [
        line(
            "shards",
            f"{shards['attainable']} of {shards['total']} can be served, "
            f"{shards['least_coverage']:.0%} needed; "
            f"eligible upstreams of {places or 'none'}",
        )
    ]
    lines += [
        line("left out", f"{name}: {why}")
        for name, why in shards["left_out_listed"].items()
    ]
    return lines + describe_rest(
        shards["left_out"], len(shards["left_out_listed"])
    )


def describe_upstreams(service: str, upstreams: Section) -> list[str]:
    """Describes the candidates of a service, the cheapest first."""
    listed = upstreams["listed"]
    lines = [
        line(
            "service",
            f"{service}, {upstreams['eligible']} of {upstreams['known']} "
            "upstreams eligible; costs in ms:",
        )
    ]
    lines += [f"  {describe_upstream(one)}" for one in listed]
    return lines + describe_rest(upstreams["known"], len(listed))


def describe_upstream(one: Section) -> str:
    """Describes the cost of one upstream in a line."""
    parts = ", ".join(
        f"{name} {cost}" for name, cost in one["parts_ms"].items() if cost
    )
    text = (
        f"{one['upstream']} in {one['data_centre']}: {one['cost_ms']} = "
        f"{parts}; typical {one['typical_ms']} x (slowdown {one['slowdown']} "
        f"+ queue {one['queue_per_slot']}), "
    )
    age_ms = one["outcome_age_ms"]
    text += (
        "no outcome yet" if age_ms is None else f"last outcome {age_ms} ms ago"
    )
    if one["cold_ms"]:
        text += f", cold for {one['cold_ms']} ms"
    if one["ready_in_ms"] != 0.0:
        wait = one["ready_in_ms"]
        text += ", rate limit " + (
            "without a share" if wait is None else f"ready in {wait} ms"
        )
    if one["paused_ms"]:
        text += f", paused for {one['paused_ms']} ms"
    return f"{text}; not used: {one['why_not']}" if one["why_not"] else text


def describe_peers(peers: Section) -> list[str]:
    """Describes the peers that may not be sent the request."""
    lines = [
        line("peers", f"{peers['available']} of {peers['known']} available")
    ]
    lines += [
        line(
            "not used",
            f"{one['peer']} in {one['data_centre']}: {one['why_not']}, "
            f"excluded for {one['excluded_ms']} ms, "
            f"cut off for {one['cut_off_ms']} ms",
        )
        for one in peers["unavailable_listed"]
    ]
    return lines + describe_rest(
        peers["known"] - peers["available"], len(peers["unavailable_listed"])
    )


def describe_rest(total: int, listed: int) -> list[str]:
    """Returns a line on entries that are not listed, if there are any."""
    return [f"  and {total - listed} others"] if total > listed else []

#!/usr/bin/env python3
"""Says from the decision logs of a run why requests were refused or answered late.

Reads lines that end in a JSON object as vanillahill-front writes them; anything before it, such as the
name of the VM, is skipped. Refusals are logged in full. Answers are logged for one request in 32, and
counted so many times here.

    scripts/lost-worth.py --kind NAME=BUDGET_MS:TARGET_MS:WORK_MS ... LOG

The kind of a server's requests is recognised by their time budget at the VM, and by their usual work
among kinds with the same one. A request with less time left has come back.
"""
import argparse
import collections
import json
import sys

SAMPLED_ONE_IN = 32
BUDGET_TOLERANCE_MS = 6
SLOW_FACTOR = 1.5
LATE_START_MS = 10


def parse_kind(text):
    name, _, times = text.partition("=")
    numbers = times.split(":")
    if not name or len(numbers) != 3:
        raise argparse.ArgumentTypeError(f"{text}: expected NAME=BUDGET_MS:TARGET_MS:WORK_MS")
    return name, *(float(number) for number in numbers)


def read_events(path):
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            begin = line.find('{"time_ms"')
            if begin < 0:
                continue
            try:
                event = json.loads(line[begin:])
            except json.JSONDecodeError:
                continue
            if event.get("event", "").startswith("request_"):
                yield event


def budget_of(event):
    return (float(event.get("took_us", 0)) + float(event["left_us"])) / 1000.0


def kinds_of_servers(events, kinds):
    """The kind of each server: that of most first requests placed there."""
    votes = collections.defaultdict(collections.Counter)
    for event in events:
        if event["event"] != "request_placed" or "left_us" not in event:
            continue
        expected = float(event.get("expected_us", 0)) / 1000.0
        matching = [
            (abs(expected - work), name)
            for name, budget, _, work in kinds
            if abs(budget_of(event) - budget) <= BUDGET_TOLERANCE_MS
        ]
        if matching:
            votes[event["server"]][min(matching)[1]] += 1
    return {server: counts.most_common(1)[0][0] for server, counts in votes.items()}


def refusal_cause(event):
    outcome = event.get("outcome", "")
    if outcome != "overload":
        return f"refused: {outcome}"
    asked = int(event.get("asked", 0))
    known = "fewer than 3 servers known" if asked < 3 else "3 or more servers known"
    running, _, rest = event.get("load", "0+0/1").partition("+")
    waiting, _, slots = rest.partition("/")
    room = "full" if int(running) >= int(slots) else "last slot kept"
    if int(waiting) > 0:
        room = "queue"
    return f"refused: best server {room}, {known}"


def late_cause(events, since_ms, took_ms, target):
    if since_ms - took_ms > target - took_ms and took_ms <= target:
        return "late: came back after a refusal or a lost connection"
    names = [event["event"] for event in events]
    if "request_retried" in names:
        return "late: sent again"
    placed = next((event for event in events if event["event"] == "request_placed"), None)
    if placed is None:
        return "late: placing not logged"
    if float(placed.get("took_us", 0)) / 1000.0 > LATE_START_MS:
        return "late: search took long"
    running, _, rest = placed.get("load", "0+0/1").partition("+")
    if int(running) >= int(rest.partition("/")[2]):
        return "late: waited at a full server"
    if float(placed.get("slowdown", 1)) > SLOW_FACTOR:
        return "late: placed on a slow server, none better known"
    if took_ms > SLOW_FACTOR * float(placed.get("expected_us", 0)) / 1000.0:
        hedged = ", hedged" if "request_hedged" in names else ""
        return f"late: slower than expected when placed{hedged}"
    return "late: long work"


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--kind", type=parse_kind, action="append", required=True)
    parser.add_argument("log")
    options = parser.parse_args()
    targets = {name: target for name, _, target, _ in options.kind}
    budgets = {name: budget for name, budget, _, _ in options.kind}
    events = list(read_events(options.log))
    kinds = kinds_of_servers(events, options.kind)
    lost = collections.Counter()
    by_request = collections.defaultdict(list)
    for event in events:
        kind = kinds.get(event.get("server"), "unknown kind")
        if event["event"] == "request_refused":
            if event.get("outcome") not in ("unknown_kind", "caller_gone"):
                lost[(kind, refusal_cause(event))] += 1
            continue
        if "request" in event:
            by_request[event["request"]].append(event)
    for group in by_request.values():
        answer = next((event for event in group if event["event"] == "request_answered"), None)
        kind = next((kinds[e["server"]] for e in group if e.get("server") in kinds), None)
        if answer is None or kind is None:
            continue
        took = float(answer.get("took_us", 0)) / 1000.0
        since = budgets[kind] - budget_of(answer) + took
        if since > targets[kind] and answer.get("status") == "200":
            lost[(kind, late_cause(group, since, took, targets[kind]))] += SAMPLED_ONE_IN
    total = sum(lost.values())
    if total == 0:
        sys.exit("no refused or late requests in the log")
    for (kind, cause), count in lost.most_common():
        print(f"{count:7d} {count / total:6.1%}  {kind:14s} {cause}")


if __name__ == "__main__":
    main()

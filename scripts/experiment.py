#!/usr/bin/env python3
"""Measures policies side by side: 19 or 20 entry processes, 35 backend servers, faults, loads.

Each policy runs in a deployment of its own with the same seeds and the same scenarios in the same
order. "bound" is one entry process that gets all the traffic and so knows every request in flight.
"""

import argparse
import pathlib
import re
import signal
import sys
import time

import experiment_report
from deployment import (ROOT, Deployment, DeploymentError, khomas, machine_ticks, process_seconds,
                        zagreb)

SETTLE_S = 11  # until a VM runs first attempts without a query to the other VMs
SCENARIO_GAP_S = 2  # between two scenarios of one deployment
WARMUP_S = 2
VMS = {"khomas": 20, "zagreb": 19}
TAIL_OPTIONS = ["--tail", "lognormal", "--shape", "0.8"]


class Scenario:
    """A load, as a share of capacity, and the faults injected during it."""

    def __init__(self, name, load, faults=()):
        self.name = name
        self.load = load
        self.faults = faults


def periodic_slow_fault(server, seconds):
    """Makes a server ten times slower for 200 ms in every second."""
    return {"fault": "slow", "server": server, "factor": 10, "for_ms": 200, "every_ms": 1000,
            "times": max(1, int(seconds))}


def list_scenarios(service, seconds):
    """Returns all scenarios; faults hit servers of the service with the heaviest kind.

    "slow" is ten times slower for 200 ms in every second, "slow-whole" for the whole run.
    """
    full_run = {"for_ms": (seconds + WARMUP_S) * 1000}
    first, second, third = (f"{service}/s{number:02}" for number in (1, 2, 3))
    run_s = seconds + WARMUP_S
    fail = {"fault": "fail-fast", "server": second, "mode": "not-run", **full_run}
    slow_and_fail = (periodic_slow_fault(first, run_s), fail)
    always_slow = {"fault": "slow", "server": first, "factor": 10, **full_run}
    noise = [{"fault": "noise", "server": f"{service}/s{number:02}", "period_ms": 5,
              "low_speed": 0.5, "high_speed": 1.0, **full_run} for number in range(1, 9)]
    cold = [{"fault": "cold", "server": server, "requests": 40, "factor": 5,
             "at_ms": WARMUP_S * 1000, **full_run} for server in (first, second, third)]
    return [
        Scenario("load-50", 0.50), Scenario("load-70", 0.70), Scenario("load-85", 0.85),
        Scenario("load-95", 0.95), Scenario("load-130", 1.30),
        Scenario("slow+fail-70", 0.70, slow_and_fail),
        Scenario("slow+fail-85", 0.85, slow_and_fail),
        Scenario("slow-whole+fail-70", 0.70, (always_slow, fail)),
        Scenario("slow-whole+fail-85", 0.85, (always_slow, fail)),
        Scenario("slow-85", 0.85, (periodic_slow_fault(first, run_s),)),
        Scenario("fail-not-run-85", 0.85, (fail,)),
        Scenario("fail-error-85", 0.85, ({**fail, "mode": "error"},)),
        Scenario("fail-reset-85", 0.85, ({**fail, "mode": "reset"},)),
        Scenario("drain-85", 0.85, ({"fault": "drain", "server": third,
                                     "at_ms": WARMUP_S * 1000, **full_run},)),
        Scenario("cold-85", 0.85, cold),
        Scenario("lie-85", 0.85, (fail, {"fault": "lie-healthy", "server": second, **full_run})),
        Scenario("noise-70", 0.70, noise),
        Scenario("slow+fail-130", 1.30, slow_and_fail),
    ]


QUICK_SCENARIOS = ("slow+fail-85", "slow-whole+fail-85", "load-130")


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true",
                        help="one site, three scenarios, one seed: about 2 minutes")
    parser.add_argument("--sites", default="khomas,zagreb")
    parser.add_argument("--policies", default="naive,leased,bound")
    parser.add_argument("--scenarios", default="", help="regular expression; default: all")
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--seconds", type=int, default=8, help="measured time of each scenario")
    parser.add_argument("--scale", type=float, default=1.0,
                        help="multiplies service times and so divides the request rate")
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build")
    parser.add_argument("--out", type=pathlib.Path, default=ROOT / "build" / "experiment")
    parser.add_argument("--no-histories", action="store_true",
                        help="do not record and check histories")
    options = parser.parse_args()
    if options.quick:
        options.sites = "khomas"
        options.seeds = "1"
        options.scenarios = options.scenarios or \
            "^(" + "|".join(map(re.escape, QUICK_SCENARIOS)) + ")$"
    return options


def print_progress(text):
    print(f"experiment: {text}", file=sys.stderr, flush=True)


class Snapshot:
    """Processor time, idle time and control bytes at one point in time."""

    def __init__(self, deployment):
        self.at = time.monotonic()
        self.idle, self.total = machine_ticks()
        self.cpu = sum(process_seconds(deployment.processes[name].pid)
                       for name in deployment.vm_names)
        self.bytes = sum(deployment.read_metrics(name).get("vanillahill_peer_sent_bytes_total", 0.0)
                         for name in deployment.vm_names)


def make_row(site, scenario, policy, seed, result, before, after):
    kinds = result["kinds"]
    heavy = max(kinds, key=lambda kind: kind["weight"])
    sent = max(1, result["sent"])
    elapsed = after.at - before.at
    return {
        "site": site.name, "scenario": scenario.name, "policy": policy, "seed": seed,
        "load": scenario.load, "sent": result["sent"],
        "in_time_share": result["weighted_in_time"] / max(1.0, result["weighted_sent"]),
        "heavy_kind": heavy["kind"], "heavy_p50_ms": heavy["latency"]["p50_ms"],
        "heavy_p99_ms": heavy["latency"]["p99_ms"], "heavy_p999_ms": heavy["latency"]["p999_ms"],
        "heavy_p99_of_all_ms": heavy["latency_of_all"]["p99_ms"],
        "refused_share": sum(kind["not_run"] for kind in kinds) / sent,
        "unknown_share": sum(kind["unknown"] + kind["cut"] for kind in kinds) / sent,
        "foreign": result["foreign"], "incomplete": result["incomplete"],
        "most_probes": max(server["most_probes_per_second"] for server in result["measuring"]),
        "mean_probes": sum(server["probes"] for server in result["measuring"])
        / len(result["measuring"]) / result["measuring_seconds"],
        "most_connections": max(server["most_connections"] for server in result["measuring"]),
        "control_bytes": (after.bytes - before.bytes) / elapsed,
        "entry_cpu": (after.cpu - before.cpu) / elapsed,
        "idle": (after.idle - before.idle) / max(1, after.total - before.total),
        "send_lag_p99_ms": result["send_lag"]["p99_ms"], "kinds": kinds,
    }


def run_scenario(deployment, site, scenario, policy, seed, seconds):
    name = f"load-{scenario.name}"
    before = Snapshot(deployment)
    if scenario.faults:
        deployment.start_backend_fault({"faults": list(scenario.faults)})
    load = deployment.start_load(scenario.load * site.capacity(), seconds, warmup=WARMUP_S,
                                 name=name, seed=seed * 100 + round(scenario.load * 100))
    code = load.wait()
    after = Snapshot(deployment)
    if code != 0:
        print_progress(f"load tool ended with {code}: see {deployment.folder}/{name}.log")
    row = make_row(site, scenario, policy, seed, deployment.read_load_result(name), before, after)
    row["control_bytes"] /= len(deployment.vm_names)
    row["load_failed"] = code != 0
    print_progress(f"{site.name} {scenario.name} {policy} seed {seed}: in time "
                   f"{row['in_time_share'] * 100:.2f}%, {row['heavy_kind']} p99 "
                   f"{row['heavy_p99_ms']:.0f} ms, "
                   f"machine idle {row['idle'] * 100:.0f}%")
    return row


def raise_limits(base):
    """Raises the limits so that the single VM of the "bound" policy can take all callers."""
    base["callers"]["connections"] = 20000
    for service in base["services"].values():
        service["policy"]["queue_limit"] = 16384


def run_deployment(options, site, policy, seed, chosen_scenarios):
    """Runs the chosen scenarios in one deployment; returns their rows."""
    bound = policy == "bound"
    folder = options.out / f"{site.name}-{policy}-{seed}"
    rows = []
    with Deployment(folder, site, 1 if bound else VMS[site.name], build=options.build,
                    policy="leased" if bound else policy, seed=seed, workers=4 if bound else 1,
                    history=not options.no_histories, backend_options=TAIL_OPTIONS,
                    settings_change=raise_limits if bound else lambda base: None) as deployment:
        time.sleep(SETTLE_S)
        for scenario in chosen_scenarios:
            rows.append(run_scenario(deployment, site, scenario, policy, seed, options.seconds))
            time.sleep(SCENARIO_GAP_S)
        budget = min(service["policy"]["measuring_budget"]
                     for service in deployment.base_settings()["services"].values())
    violations = None
    if not options.no_histories:
        status, text = deployment.check_history("--measuring-budget", "1000000")
        (folder / "violations.txt").write_text(text)
        violations = text.count("at-most-once")
        print_progress(f"history {folder.name}: {text.strip().splitlines()[-1]}")
    for row in rows:
        row["budget"] = budget
        row["second_runs"] = violations
        row["history_broken"] = violations is not None and status != 0
    return rows


def scale_service_times(site, factor):
    for service in site.services:
        service.means_ms = {kind: mean * factor for kind, mean in service.means_ms.items()}
    return site


def main():
    options = parse_arguments()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    options.out.mkdir(parents=True, exist_ok=True)
    sites = [scale_service_times({"khomas": khomas, "zagreb": zagreb}[name](), options.scale)
             for name in options.sites.split(",")]
    rows = []
    for site in sites:
        chosen_scenarios = [
            scenario for scenario in list_scenarios(site.services[0].name, options.seconds)
            if re.search(options.scenarios, scenario.name)]
        for seed in map(int, options.seeds.split(",")):
            policies = options.policies.split(",")
            # Even seeds run the policies in reverse, so that drift of the machine averages out.
            for policy in policies if seed % 2 else reversed(policies):
                try:
                    rows += run_deployment(options, site, policy, seed, chosen_scenarios)
                except (DeploymentError, OSError) as failure:
                    print_progress(f"{site.name} {policy} seed {seed}: {failure}")
                    return 1
                experiment_report.write_report(rows, options.out)
    print(experiment_report.format_table(rows))
    print_progress(f"rows.json, table.txt, kinds.txt and plots are in {options.out}")
    failed = any(row["foreign"] or row["incomplete"] or row["load_failed"]
                 or row["history_broken"] for row in rows)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Soak: injects seeded faults of every kind under load, then checks the histories."""

import argparse
import collections
import json
import pathlib
import random
import signal
import sys
import threading
import time

from deployment import ROOT, Deployment, DeploymentError, khomas, shrink_site

SETTLE_S = 11
PAUSE_BETWEEN_S = 1.5
LOAD_SHARE = 0.5
VERSION_POLL_PERIOD_S = 0.25
SERVERS = {"rounds-desk": 6, "ledger-view": 4}


class ConfigurationWatcher(threading.Thread):
    """Records the configuration versions that each VM reports as in force."""

    def __init__(self, deployment):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.stopped = threading.Event()
        self.recorded = {}

    def run(self):
        while not self.stopped.wait(VERSION_POLL_PERIOD_S):
            for name in self.deployment.vm_names:
                self.record_versions(name)

    def record_versions(self, name):
        try:
            versions = self.deployment.read_status(name)["versions"]
        except (OSError, ValueError, KeyError):
            return
        for entry in versions:
            detail = f"{entry['file']}={entry['version']}"
            if self.recorded.get((name, entry["file"])) != detail:
                self.recorded[(name, entry["file"])] = detail
                self.deployment.record_event("in-force", name, detail)


class Soak:
    """Draws faults from a seed and injects them one after another."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.step_counts = collections.Counter()
        self.change_count = 0
        self.accepted = 0
        self.lost_races = 0
        self.unconfirmed = 0

    def steps(self):
        return [self.kill_and_restart, self.pause, self.planned_stop, self.cut_link,
                self.log_outage, self.log_loses_replies, self.backend_fault,
                self.corrupt_replies, self.race, self.pause_during_log_outage]

    def run(self, seconds):
        limit = time.monotonic() + seconds
        remaining_steps = []
        while time.monotonic() < limit:
            if not remaining_steps:
                remaining_steps = self.steps()
                self.random.shuffle(remaining_steps)
            step = remaining_steps.pop()
            self.step_counts[step.__name__] += 1
            print(f"soak: {step.__name__}", file=sys.stderr, flush=True)
            step()
            time.sleep(PAUSE_BETWEEN_S)

    def choose_vm(self):
        return self.random.choice(self.deployment.vm_names)

    def choose_server(self):
        return self.random.choice(self.deployment.servers)["name"]

    def restart(self, name):
        time.sleep(self.random.uniform(0.2, 4.0))
        self.deployment.announce(name)
        self.deployment.start_vm(name)
        self.deployment.wait_ready([name])

    def kill_and_restart(self):
        name = self.choose_vm()
        self.deployment.kill_vm(name)
        self.restart(name)

    def planned_stop(self):
        name = self.choose_vm()
        self.deployment.stop_vm(name)
        self.restart(name)

    def pause(self):
        name = self.choose_vm()
        self.deployment.send_signal(name, signal.SIGSTOP)
        time.sleep(self.random.uniform(0.1, 6.0))
        self.deployment.send_signal(name, signal.SIGCONT)

    def cut_link(self):
        name = self.choose_vm()
        self.deployment.set_relay_fault(name, cut=True)
        time.sleep(self.random.uniform(0.2, 5.0))
        self.deployment.set_relay_fault(name, cut=False)

    def log_outage(self):
        self.deployment.set_platform_fault({"log": self.random.choice(["down", "slow"])})
        time.sleep(self.random.uniform(1.0, 5.0))
        self.deployment.set_platform_fault({"log": "up"})

    def pause_during_log_outage(self):
        self.deployment.set_platform_fault({"log": "down"})
        self.pause()
        self.deployment.set_platform_fault({"log": "up"})

    def log_loses_replies(self):
        self.deployment.set_platform_fault({"lose_replies": 0.5})
        self.race()
        self.deployment.set_platform_fault({"lose_replies": 0})

    def backend_fault(self):
        fault = self.random.choice(["slow", "fail-fast", "drain", "down", "shed", "noise", "cold"])
        self.deployment.start_backend_fault({
            "fault": fault, "server": self.choose_server(), "share": 0.5,
            "mode": self.random.choice(["error", "not-run", "reset"]),
            "for_ms": self.random.uniform(200, 4000)})

    def corrupt_replies(self):
        fault = self.random.choice(["swap-reply", "cut-reply", "late-reply"])
        self.deployment.start_backend_fault({
            "fault": fault, "server": self.choose_server(), "share": 0.3,
            "period_ms": 3000, "for_ms": 2000})

    def race(self):
        """Two operators publish a change of the base file at the same time."""
        version = self.current_base_version()
        threads = [threading.Thread(target=self.publish_change, args=(operator, number, version))
                   for number, operator in enumerate(("anna", "ivana"))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def current_base_version(self):
        """Returns the version of the base file in the log, as the operator's tool shows it."""
        _, text = self.deployment.run_control_tool(
            "--json", "status", "--platform", self.deployment.platform, "--vm",
            self.deployment.admin_address(self.deployment.vm_names[0]))
        return json.JSONDecoder().raw_decode(text)[0]["current"]["base"]

    def publish_change(self, operator, number, version):
        self.change_count += 1
        base = self.deployment.base_settings()
        base["callers"]["connections"] = 2048 + 2 * self.change_count + number
        path = self.deployment.folder / f"base-{operator}.json"
        path.write_text(json.dumps(base))
        code, text = self.deployment.publish_file("base", path, operator=operator,
                                                  extra=["--builds-on", version])
        if code == 0:
            self.accepted += 1
            version = json.JSONDecoder().raw_decode(text)[0]["version"]
            self.deployment.record_event("accepted", operator, f"base={version}")
        elif code == 4:
            self.lost_races += 1
        else:
            self.unconfirmed += 1


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build")
    parser.add_argument("--folder", type=pathlib.Path, default=ROOT / "build" / "soak")
    return parser.parse_args()


def run(options):
    site = shrink_site(khomas(), SERVERS)
    seconds = round(options.minutes * 60)
    with Deployment(options.folder, site, options.vms, build=options.build,
                    seed=options.seed) as deployment:
        load = deployment.start_load(LOAD_SHARE * site.capacity(), seconds + SETTLE_S, warmup=0,
                                     extra=["--repeat", "3", "--impatient", "0.05"])
        watcher = ConfigurationWatcher(deployment)
        watcher.start()
        time.sleep(SETTLE_S)
        soak = Soak(deployment, options.seed)
        soak.run(seconds - 8)
        load.wait()
        watcher.stopped.set()
        watcher.join()
        print((options.folder / "load.log").read_text().split("kind  ", 1)[-1])
    status, text = deployment.check_history()
    (options.folder / "violations.txt").write_text(text)
    steps = ", ".join(f"{name} {count}" for name, count in sorted(soak.step_counts.items()))
    print(f"soak: seed {options.seed}, {options.minutes:g} min, {options.vms} VMs: {steps}")
    print(f"soak: changes accepted {soak.accepted}, lost a race {soak.lost_races}, "
          f"not confirmed {soak.unconfirmed}")
    print(f"soak: load tool {load.returncode}, history: {text.strip().splitlines()[-1]}")
    return 1 if status != 0 or load.returncode != 0 else 0


def main():
    options = parse_arguments()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    try:
        return run(options)
    except DeploymentError as failure:
        print(f"soak: {failure}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())

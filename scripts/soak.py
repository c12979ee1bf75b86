#!/usr/bin/env python3
"""Soak: seeded disturbances of every kind under load; the histories are checked at the end."""

import argparse
import collections
import json
import pathlib
import random
import signal
import sys
import threading
import time

from deployment import ROOT, Deployment, DeploymentError, khomas, small

SETTLE_S = 11
PAUSE_BETWEEN_S = 1.5
LOAD = 0.5
WATCH_S = 0.25
SERVERS = {"rounds-desk": 6, "ledger-view": 4}


class Watcher(threading.Thread):
    """Records which configuration versions each VM shows in force."""

    def __init__(self, running):
        super().__init__(daemon=True)
        self.running = running
        self.ended = threading.Event()
        self.seen = {}

    def run(self):
        while not self.ended.wait(WATCH_S):
            for name in self.running.vm_names:
                self.look(name)

    def look(self, name):
        try:
            versions = self.running.status(name)["versions"]
        except (OSError, ValueError, KeyError):
            return
        for entry in versions:
            detail = f"{entry['file']}={entry['version']}"
            if self.seen.get((name, entry["file"])) != detail:
                self.seen[(name, entry["file"])] = detail
                self.running.record("in-force", name, detail)


class Soak:
    """Draws disturbances from a seed and carries them out one after another."""

    def __init__(self, running, seed):
        self.running = running
        self.random = random.Random(seed)
        self.counts = collections.Counter()
        self.change = 0
        self.accepted = 0
        self.lost_races = 0
        self.unconfirmed = 0

    def steps(self):
        return [self.kill_and_restart, self.pause, self.planned_stop, self.cut_link,
                self.log_outage, self.log_loses_replies, self.backend_fault,
                self.corrupt_replies, self.race, self.pause_during_log_outage]

    def run(self, seconds):
        limit = time.monotonic() + seconds
        waiting = []
        while time.monotonic() < limit:
            if not waiting:
                waiting = self.steps()
                self.random.shuffle(waiting)
            step = waiting.pop()
            self.counts[step.__name__] += 1
            print(f"soak: {step.__name__}", file=sys.stderr, flush=True)
            step()
            time.sleep(PAUSE_BETWEEN_S)

    def any_vm(self):
        return self.random.choice(self.running.vm_names)

    def any_server(self):
        return self.random.choice(self.running.servers)["name"]

    def restart(self, name):
        time.sleep(self.random.uniform(0.2, 4.0))
        self.running.announce(name)
        self.running.start_vm(name)
        self.running.wait_ready([name])

    def kill_and_restart(self):
        name = self.any_vm()
        self.running.kill_vm(name)
        self.restart(name)

    def planned_stop(self):
        name = self.any_vm()
        self.running.stop_vm(name)
        self.restart(name)

    def pause(self):
        name = self.any_vm()
        self.running.signal(name, signal.SIGSTOP)
        time.sleep(self.random.uniform(0.1, 6.0))
        self.running.signal(name, signal.SIGCONT)

    def cut_link(self):
        name = self.any_vm()
        self.running.relay_fault(name, cut=True)
        time.sleep(self.random.uniform(0.2, 5.0))
        self.running.relay_fault(name, cut=False)

    def log_outage(self):
        self.running.platform_fault({"log": self.random.choice(["down", "slow"])})
        time.sleep(self.random.uniform(1.0, 5.0))
        self.running.platform_fault({"log": "up"})

    def pause_during_log_outage(self):
        self.running.platform_fault({"log": "down"})
        self.pause()
        self.running.platform_fault({"log": "up"})

    def log_loses_replies(self):
        self.running.platform_fault({"lose_replies": 0.5})
        self.race()
        self.running.platform_fault({"lose_replies": 0})

    def backend_fault(self):
        fault = self.random.choice(["slow", "fail-fast", "drain", "down", "shed", "noise", "cold"])
        self.running.fault({"fault": fault, "server": self.any_server(), "share": 0.5,
                            "mode": self.random.choice(["error", "not-run", "reset"]),
                            "for_ms": self.random.uniform(200, 4000)})

    def corrupt_replies(self):
        fault = self.random.choice(["swap-reply", "cut-reply", "late-reply"])
        self.running.fault({"fault": fault, "server": self.any_server(), "share": 0.3,
                            "period_ms": 3000, "for_ms": 2000})

    def race(self):
        """Two operators publish a change of the base file at the same moment."""
        version = self.current_base()
        threads = [threading.Thread(target=self.publish, args=(operator, number, version))
                   for number, operator in enumerate(("anna", "ivana"))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def current_base(self):
        """Version of the base file in the log, as the operator's command shows it."""
        _, text = self.running.control_tool("--json", "status", "--platform",
                                            self.running.platform, "--vm",
                                            self.running.admin(self.running.vm_names[0]))
        return json.JSONDecoder().raw_decode(text)[0]["current"]["base"]

    def publish(self, operator, number, version):
        self.change += 1
        base = self.running.base()
        base["callers"]["connections"] = 2048 + 2 * self.change + number
        path = self.running.folder / f"base-{operator}.json"
        path.write_text(json.dumps(base))
        code, text = self.running.publish_file("base", path, operator=operator,
                                               extra=["--builds-on", version])
        if code == 0:
            self.accepted += 1
            version = json.JSONDecoder().raw_decode(text)[0]["version"]
            self.running.record("accepted", operator, f"base={version}")
        elif code == 4:
            self.lost_races += 1
        else:
            self.unconfirmed += 1


def arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build")
    parser.add_argument("--folder", type=pathlib.Path, default=ROOT / "build" / "soak")
    return parser.parse_args()


def run(options):
    site = small(khomas(), SERVERS)
    seconds = round(options.minutes * 60)
    with Deployment(options.folder, site, options.vms, build=options.build,
                    seed=options.seed) as running:
        load = running.start_load(LOAD * site.capacity(), seconds + SETTLE_S, warmup=0,
                                  extra=["--repeat", "3", "--impatient", "0.05"])
        watcher = Watcher(running)
        watcher.start()
        time.sleep(SETTLE_S)
        soak = Soak(running, options.seed)
        soak.run(seconds - 8)
        load.wait()
        watcher.ended.set()
        watcher.join()
        print((options.folder / "load.log").read_text().split("kind  ", 1)[-1])
    status, text = running.check_history()
    (options.folder / "violations.txt").write_text(text)
    steps = ", ".join(f"{name} {count}" for name, count in sorted(soak.counts.items()))
    print(f"soak: seed {options.seed}, {options.minutes:g} min, {options.vms} VMs: {steps}")
    print(f"soak: changes accepted {soak.accepted}, lost a race {soak.lost_races}, "
          f"not confirmed {soak.unconfirmed}")
    print(f"soak: load tool {load.returncode}, history: {text.strip().splitlines()[-1]}")
    return 1 if status != 0 or load.returncode != 0 else 0


def main():
    options = arguments()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    try:
        return run(options)
    except DeploymentError as failure:
        print(f"soak: {failure}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""The demo: a small deployment under load loses a VM and a backend server."""

import argparse
import pathlib
import signal
import sys
import tempfile
import time

from deployment import ROOT, Deployment, DeploymentError, khomas, small

LOAD = 0.6  # of capacity
VMS = 4
SERVERS = {"rounds-desk": 5, "ledger-view": 3}
MEASURING_BUDGET = 2
SETTLE_S = 11  # until a VM runs first attempts without asking the others


def arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="shorter, for CI")
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build")
    parser.add_argument("--folder", type=pathlib.Path,
                        help="where settings, logs and histories go; default: a temporary folder")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def say(text):
    print(f"demo: {text}", flush=True)


def run(options, folder):
    site = small(khomas(), SERVERS)
    seconds = 6 if options.quick else 20
    with Deployment(folder, site, VMS, build=options.build, seed=options.seed) as running:
        say(f"{VMS} entry VMs in {len(site.data_centers)} data centres, "
            f"{len(running.servers)} backend servers, settings in force")
        rate = LOAD * site.capacity()
        say(f"load: {rate:.0f} requests/s for {seconds} s")
        load = running.start_load(rate, seconds, warmup=SETTLE_S, extra=["--repeat", "2"])
        time.sleep(SETTLE_S + seconds * 0.3)
        say(f"kill entry VM {running.vm_names[-1]}")
        running.kill_vm(running.vm_names[-1])
        time.sleep(seconds * 0.3)
        lost = running.servers[0]["name"]
        say(f"kill backend server {lost}")
        running.fault({"fault": "down", "server": lost})
        load.wait()
        print((folder / "load.log").read_text(), end="")
        say("planned stop of every VM")
        for name in running.vm_names[:-1]:
            running.stop_vm(name)
    status, text = running.check_history("--measuring-budget", str(MEASURING_BUDGET))
    say(f"history: {text.strip()}")
    return load.returncode, status


def main():
    options = arguments()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    with tempfile.TemporaryDirectory(prefix="vanillahill-demo-") as temporary:
        folder = options.folder or pathlib.Path(temporary)
        try:
            load, history = run(options, folder)
        except DeploymentError as failure:
            print(f"demo: {failure}", file=sys.stderr)
            return 1
    if load != 0 or history != 0:
        say(f"FAILED: load tool {load}, history checker {history}")
        return 1
    say("every answer was the caller's own and whole; nothing ran twice that must not")
    return 0


if __name__ == "__main__":
    sys.exit(main())

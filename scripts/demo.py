#!/usr/bin/env python3
"""Demo: kills a VM and a backend server of a small deployment under load."""

import argparse
import pathlib
import signal
import sys
import tempfile
import time

from deployment import ROOT, Deployment, DeploymentError, khomas, shrink_site

LOAD_SHARE = 0.6  # share of capacity
VMS = 4
SERVERS = {"rounds-desk": 5, "ledger-view": 3}
MEASURING_BUDGET = 2
SETTLE_S = 11  # until a VM runs first attempts without a query to the other VMs


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="shorter run, for CI")
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build")
    parser.add_argument("--folder", type=pathlib.Path,
                        help="where settings, logs and histories go; default: a temporary folder")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def print_progress(text):
    print(f"demo: {text}", flush=True)


def run(options, folder):
    site = shrink_site(khomas(), SERVERS)
    seconds = 6 if options.quick else 20
    with Deployment(folder, site, VMS, build=options.build, seed=options.seed) as deployment:
        print_progress(f"{VMS} entry VMs in {len(site.data_centers)} data centres, "
                       f"{len(deployment.servers)} backend servers, settings in force")
        rate = LOAD_SHARE * site.capacity()
        print_progress(f"load: {rate:.0f} requests/s for {seconds} s")
        load = deployment.start_load(rate, seconds, warmup=SETTLE_S, extra=["--repeat", "2"])
        time.sleep(SETTLE_S + seconds * 0.3)
        print_progress(f"kill entry VM {deployment.vm_names[-1]}")
        deployment.kill_vm(deployment.vm_names[-1])
        time.sleep(seconds * 0.3)
        killed_server = deployment.servers[0]["name"]
        print_progress(f"kill backend server {killed_server}")
        deployment.start_backend_fault({"fault": "down", "server": killed_server})
        load.wait()
        print((folder / "load.log").read_text(), end="")
        print_progress("planned stop of every VM")
        for name in deployment.vm_names[:-1]:
            deployment.stop_vm(name)
    status, text = deployment.check_history("--measuring-budget", str(MEASURING_BUDGET))
    print_progress(f"history: {text.strip()}")
    return load.returncode, status


def main():
    options = parse_arguments()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    with tempfile.TemporaryDirectory(prefix="vanillahill-demo-") as temporary:
        folder = options.folder or pathlib.Path(temporary)
        try:
            load, history = run(options, folder)
        except DeploymentError as failure:
            print(f"demo: {failure}", file=sys.stderr)
            return 1
    if load != 0 or history != 0:
        print_progress(f"FAILED: load tool {load}, history checker {history}")
        return 1
    print_progress("every answer was the caller's own and whole; nothing ran twice that must not")
    return 0


if __name__ == "__main__":
    sys.exit(main())

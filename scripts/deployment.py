"""Starts and stops a deployment on loopback: platform, backend servers, relay, entry VMs.

Every VM has a loopback address of its own, so that ports are fixed and several deployments can
run at once. Every process started is stopped by its id.
"""

import copy
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
CALLER_PORT = 8000
PEER_PORT = 8001
ADMIN_PORT = 8002
RELAY_PORT = 8101
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
ADMIN_TOKEN = "demo-admin-token"
PEER_TOKEN = "demo-peer-token"


class DeploymentError(Exception):
    """A process did not start, or a call failed."""


def call(address, method, target, body=None, token=None, timeout=5.0):
    """Makes one HTTP call and returns (status, body text)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        connection.request(method, target, body=body, headers=headers)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def process_seconds(pid):
    """Returns the processor time that a process has used, in seconds."""
    try:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def machine_ticks():
    """Returns (idle, total) processor ticks of the machine."""
    with open("/proc/stat", encoding="ascii") as stat:
        ticks = [int(part) for part in stat.readline().split()[1:9]]
    return ticks[3] + ticks[4], sum(ticks)


def free_prefix():
    """Returns a loopback prefix, 127.x.y, on which nothing listens."""
    generator = random.SystemRandom()
    while True:
        prefix = f"127.{generator.randint(10, 250)}.{generator.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{prefix}.1", CALLER_PORT))
                return prefix
            except OSError:
                continue


class Service:
    """Backend servers of one service, and the mean service times and shares of its kinds."""

    def __init__(self, name, servers, slots, means_ms, shares):
        self.name = name
        self.servers = servers
        self.slots = slots
        self.means_ms = means_ms
        self.shares = shares

    def capacity(self):
        """Requests per second that keep every slot busy, with the shares of the kinds."""
        total = sum(self.shares.values())
        mean_ms = sum(self.means_ms[kind] * share / total for kind, share in self.shares.items())
        return self.servers * self.slots * 1000.0 / mean_ms


class Site:
    """Data centres, services and network distances of a deployment."""

    def __init__(self, name, example, data_centers, services, distance_ms, client_ms):
        self.name = name
        self.example = example
        self.data_centers = data_centers
        self.services = services
        self.distance_ms = distance_ms
        self.client_ms = client_ms

    def capacity(self):
        return sum(service.capacity() for service in self.services)

    def base_settings(self):
        return json.loads((ROOT / "examples" / self.example / "base.json").read_text())

    def mix(self):
        """Shares of all requests by service/kind, in proportion to capacity."""
        shares = {}
        for service in self.services:
            total = sum(service.shares.values())
            for kind, share in service.shares.items():
                shares[f"{service.name}/{kind}"] = service.capacity() * share / total
        return shares


class Deployment:
    """One running deployment; use as a context manager."""

    def __init__(self, folder, site, vms, **options):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        for old_file in [*self.folder.glob("*.log"), *self.folder.glob("*.jsonl")]:
            old_file.unlink()
        self.build = pathlib.Path(options.get("build", ROOT / "build"))
        self.site = site
        self.vm_names = [f"e{number:02}" for number in range(1, vms + 1)]
        self.policy = options.get("policy", "leased")
        self.seed = options.get("seed", 1)
        self.workers = options.get("workers", 2)
        self.relayed = options.get("relayed", site.distance_ms > 0)
        self.backend_options = options.get("backend_options", [])
        self.history = options.get("history", True)
        self.settings_change = options.get("settings_change", lambda base: None)
        self.prefix = free_prefix()
        self.processes = {}
        self.platform = None
        self.control = None
        self.servers = []
        self.relay_control = None
        self.script_history = open(self.folder / "script.jsonl", "w", encoding="utf-8")

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    # Processes ---------------------------------------------------------------------------------

    def spawn(self, name, arguments):
        program = self.build / f"vanillahill-{arguments[0]}"
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(
            [str(program), *[str(part) for part in arguments[1:]]],
            stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()
        self.processes[name] = process
        return process

    def wait_for(self, subject, check):
        limit = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < limit:
            for name, process in self.processes.items():
                if process.poll() not in (None, 0, -signal.SIGKILL):
                    raise DeploymentError(
                        f"{name} ended with {process.returncode}; see {self.folder}/{name}.log")
            try:
                value = check()
            except (OSError, ValueError, http.client.HTTPException):
                value = None
            if value:
                return value
            time.sleep(0.05)
        raise DeploymentError(f"{subject} is not ready after {START_TIMEOUT_S:.0f} s")

    def listening_address(self, name, start="listening "):
        text = (self.folder / f"{name}.log").read_text()
        for line in text.splitlines():
            if line.startswith(start):
                return line[len(start):].strip()
        return None

    def record_event(self, event, subject, detail=""):
        """Records one event of a process in the history."""
        line = {"t": time.clock_gettime_ns(time.CLOCK_MONOTONIC), "by": "script", "event": event,
                "subject": subject, "detail": detail}
        self.script_history.write(json.dumps(line) + "\n")
        self.script_history.flush()

    # Start and stop ------------------------------------------------------------------------------

    def start(self):
        self.start_platform()
        self.start_backends()
        self.publish()
        if self.relayed:
            self.start_relay()
        for name in self.vm_names:
            self.announce(name)
        for name in self.vm_names:
            self.start_vm(name)
        self.wait_ready(self.vm_names)

    def start_platform(self):
        self.spawn("platform", ["platform", "--seed", self.seed])
        self.platform = self.wait_for("platform", lambda: self.listening_address("platform"))

    def start_backends(self):
        addresses = self.folder / "backends.json"
        addresses.unlink(missing_ok=True)
        arguments = ["backend", "--host", f"{self.prefix}.250", "--addresses", addresses,
                     "--seed", self.seed]
        if self.history:
            arguments += ["--history", self.folder / "backend.jsonl"]
        for service in self.site.services:
            arguments += ["--service", f"{service.name}:{service.servers}:{service.slots}"]
            for kind, mean in service.means_ms.items():
                arguments += ["--kind-mean-ms", f"{service.name}/{kind}={mean}"]
        self.spawn("backend", [*arguments, *self.backend_options])
        backends = self.wait_for("backend servers", lambda: addresses.exists()
                                 and json.loads(addresses.read_text()))
        self.control = backends["control"]
        self.servers = backends["servers"]

    def start_relay(self):
        links = [{"listen": f"{self.vm_ip(name)}:{RELAY_PORT}",
                  "target": f"{self.vm_ip(name)}:{PEER_PORT}",
                  "delay_us": round(self.site.distance_ms * 1000)} for name in self.vm_names]
        path = self.folder / "links.json"
        path.write_text(json.dumps({"links": links}))
        self.spawn("relay", ["relay", "--control", "127.0.0.1:0", "--links", path])
        self.relay_control = self.wait_for("relay", lambda: self.listening_address("relay"))

    def start_vm(self, name):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.vm_settings(name), indent=2))
        self.spawn(name, ["entry", "--settings", path])

    def wait_ready(self, names):
        for name in names:
            self.wait_for(name, lambda: call(self.admin_address(name), "GET", "/ready")[0] == 200)

    def stop(self):
        """Stops all processes that still run, entry VMs first; kills those that time out."""
        order = [name for name in self.processes if name in self.vm_names]
        order += [name for name in ("relay", "backend", "platform") if name in self.processes]
        for group in (order[:-3] or order, order):
            for name in group:
                self.send_signal(name, signal.SIGCONT)
                self.send_signal(name, signal.SIGTERM)
            for name in group:
                self.wait_or_kill(name)
        self.script_history.close()

    def send_signal(self, name, signal_number):
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(signal_number)

    def wait_or_kill(self, name):
        process = self.processes[name]
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    # VMs -----------------------------------------------------------------------------------------

    def vm_ip(self, name):
        return f"{self.prefix}.{self.vm_names.index(name) + 1}"

    def admin_address(self, name):
        return f"{self.vm_ip(name)}:{ADMIN_PORT}"

    def caller_address(self, name):
        return f"{self.vm_ip(name)}:{CALLER_PORT}"

    def data_center(self, name):
        centers = self.site.data_centers
        return centers[self.vm_names.index(name) % len(centers)]

    def vm_settings(self, name):
        ip = self.vm_ip(name)
        return {"name": name, "site": self.site.name, "data_center": self.data_center(name),
                "caller_address": f"{ip}:{CALLER_PORT}", "peer_address": f"{ip}:{PEER_PORT}",
                "admin_address": f"{ip}:{ADMIN_PORT}", "platform_address": self.platform,
                "admin_token": ADMIN_TOKEN, "peer_token": PEER_TOKEN, "workers": self.workers,
                "seed": self.seed * 1000 + self.vm_names.index(name) + 1, "log_level": "info"}

    def announce(self, name, state="live"):
        port = RELAY_PORT if self.relayed else PEER_PORT
        body = {"peer_address": f"{self.vm_ip(name)}:{port}",
                "data_center": self.data_center(name), "state": state}
        call(self.platform, "PUT", f"/vms/{name}", json.dumps(body))

    def kill_vm(self, name):
        """Kills the VM, then removes it from the platform's list of VMs."""
        self.record_event("kill", name)
        self.processes[name].kill()
        self.processes[name].wait()
        call(self.platform, "DELETE", f"/vms/{name}")

    def stop_vm(self, name):
        """Planned stop: the VM exits once it has completed its requests."""
        self.announce(name, "leaving")
        self.record_event("stop", name)
        self.send_signal(name, signal.SIGTERM)
        self.wait_or_kill(name)
        self.record_event("exit", name)
        call(self.platform, "DELETE", f"/vms/{name}")

    def read_metrics(self, name):
        """Returns the sum of each metric over its labels."""
        status, text = call(self.admin_address(name), "GET", "/metrics", token=ADMIN_TOKEN)
        sums = {}
        for line in text.splitlines() if status == 200 else []:
            if line.startswith("#") or " " not in line:
                continue
            key, value = line.rsplit(" ", 1)
            key = key.split("{", 1)[0]
            sums[key] = sums.get(key, 0.0) + float(value)
        return sums

    def read_status(self, name):
        return json.loads(call(self.admin_address(name), "GET", "/status", token=ADMIN_TOKEN)[1])

    # Settings and faults -------------------------------------------------------------------------

    def base_settings(self):
        base = self.site.base_settings()
        for service in base["services"].values():
            service.setdefault("policy", {})["name"] = self.policy
        self.settings_change(base)
        return base

    def overlay_settings(self):
        services = {}
        for number, server in enumerate(self.servers):
            service, name = server["name"].split("/")
            centers = self.site.data_centers
            services.setdefault(service, {"servers": {}})["servers"][name] = {
                "address": server["address"], "data_center": centers[number % len(centers)],
                "slots": server["slots"], "max_connections": 250}
        return {"data_centers": self.site.data_centers, "services": services}

    def settings_paths(self):
        return self.folder / "base.json", self.folder / "overlay.json"

    def publish(self):
        base_path, overlay_path = self.settings_paths()
        base_path.write_text(json.dumps(self.base_settings(), indent=2))
        overlay_path.write_text(json.dumps(self.overlay_settings(), indent=2))
        for file, path in (("base", base_path), (f"overlay/{self.site.name}", overlay_path)):
            code, text = self.publish_file(file, path)
            if code != 0:
                raise DeploymentError(f"publish {file}: {text}")

    def run_control_tool(self, *arguments):
        """Runs the operator's command-line tool; returns (exit code, output)."""
        environment = {**os.environ, "VANILLAHILL_TOKEN": ADMIN_TOKEN}
        completed = subprocess.run([str(self.build / "vanillahill-ctl"), *map(str, arguments)],
                                   capture_output=True, text=True, check=False, env=environment)
        return completed.returncode, completed.stdout + completed.stderr

    def publish_file(self, file, path, operator="demo", vms=(), extra=()):
        """Publishes a settings file; with VMs, waits until it is in force on each of them."""
        wait = ["--wait"] if vms else []
        for name in vms:
            wait += ["--vm", self.admin_address(name)]
        return self.run_control_tool("--json", "publish", path, "--platform", self.platform,
                                     "--name", file, "--operator", operator, *extra, *wait)

    def start_backend_fault(self, script):
        """Starts a fault script at the backend servers."""
        status, text = call(self.control, "PUT", "/fault", json.dumps(script))
        if status != 200:
            raise DeploymentError(f"fault script: {text}")

    def set_platform_fault(self, fault):
        call(self.platform, "PUT", "/fault", json.dumps(fault))

    def set_relay_fault(self, name, **changes):
        """Changes the link to a VM, for example cut=True."""
        link = {"listen": f"{self.vm_ip(name)}:{RELAY_PORT}", **changes}
        status, text = call(self.relay_control, "PUT", "/fault", json.dumps({"links": [link]}))
        if status != 200:
            raise DeploymentError(f"relay fault: {text}")

    # Load ----------------------------------------------------------------------------------------

    def start_load(self, rate, seconds, **options):
        """Starts the load tool, which writes its result to NAME.json; returns its process."""
        base_path, overlay_path = self.settings_paths()
        name = options.get("name", "load")
        arguments = ["load", "--base", base_path, "--overlay", overlay_path,
                     "--site", self.site.name, "--rate", f"{rate:.1f}", "--seconds", seconds,
                     "--warmup", options.get("warmup", 1), "--control", self.control,
                     "--distance-ms", self.site.client_ms, "--name", name,
                     "--seed", options.get("seed", self.seed),
                     "--json", self.folder / f"{name}.json"]
        for kind, share in options.get("mix", self.site.mix()).items():
            arguments += ["--mix", f"{kind}={share:.4f}"]
        for entry in options.get("entries", self.vm_names):
            arguments += ["--entry", f"{entry}={self.caller_address(entry)}"]
        if self.history:
            arguments += ["--history", self.folder / f"{name}.jsonl"]
        return self.spawn(name, [*arguments, *options.get("extra", [])])

    def read_load_result(self, name="load"):
        return json.loads((self.folder / f"{name}.json").read_text())

    def check_history(self, *options):
        """Runs the history checker over every history file; returns (exit code, text)."""
        files = sorted(str(path) for path in self.folder.glob("*.jsonl"))
        completed = subprocess.run([str(self.build / "vanillahill-history"), *options, *files],
                                   capture_output=True, text=True, check=False)
        return completed.returncode, completed.stdout + completed.stderr


def khomas():
    """Kalahari Clearview: four data centres."""
    return Site("khomas", "clearview", ["klein-windhoek", "katutura", "eros", "olympia"],
                [Service("rounds-desk", 20, 6,
                         {"round-lookup": 40, "sign-off": 80, "customer-booking": 80},
                         {"round-lookup": 0.6, "sign-off": 0.25, "customer-booking": 0.15}),
                 Service("ledger-view", 15, 6, {"invoice-posting": 80, "invoice-lookup": 60},
                         {"invoice-posting": 0.4, "invoice-lookup": 0.6})],
                distance_ms=0.5, client_ms=8)


def zagreb():
    """Higijena Plus: three data centres."""
    return Site("zagreb", "higijena", ["zg-dubrava", "zg-trnje", "zg-susedgrad"],
                [Service("renewals", 20, 4, {"status-check": 40, "renewal-submission": 100},
                         {"status-check": 0.6, "renewal-submission": 0.4}),
                 Service("archive", 15, 4, {"archive-lookup": 120}, {"archive-lookup": 1})],
                distance_ms=1.5, client_ms=1)


def shrink_site(site, servers_of):
    """Returns a copy with two data centres and fewer backend servers."""
    smaller = copy.deepcopy(site)
    for service in smaller.services:
        service.servers = servers_of[service.name]
    smaller.data_centers = smaller.data_centers[:2]
    return smaller

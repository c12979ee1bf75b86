"""Checks the promises of the platform's pages on what callers and backend servers saw."""

import bisect
import collections

PROMISES_NOT_RUN = {408, 421, 429, 503}
# A request may be given a deadline that is later than the caller's by this much, seconds.
DEADLINE_SLACK = 0.5
# Share of requests served after recovery, and requests from which it is judged.
RECOVERED_SHARE = 0.25
FEWEST_TO_JUDGE = 20
# Requests of a VM out of disturbance that may end with a cut connection or exceed their attempts.
FEW = 3


class Checker:
    """Collects violations as (rule, text)."""

    def __init__(self, history):
        self.history = history
        self.bounds = history.bounds
        self.violations = []
        self.by_id = {one.id: one for one in history.sent}
        self.ran_by_id = collections.defaultdict(list)
        for one in history.ran:
            self.ran_by_id[one.id].append(one)
        self.spans = collections.defaultdict(list)
        for span in history.spans:
            self.spans[span.where].append(span)

    def check(self):
        for one in self.history.sent:
            self.check_answer(one)
            self.check_runs(one)
            self.check_configuration(one)
        self.check_strangers()
        self.check_leaving()
        self.check_cut_connections()
        self.check_retry_budget()
        self.check_ends()
        self.check_recovery()
        return self.violations

    def fault(self, rule, text):
        self.violations.append((rule, text))

    def calm(self, where, begin, end):
        """Whether nothing disturbed a VM, a server or the store from a while before to end."""
        begin -= self.bounds["stability_window"]
        return all(span.end < begin or span.begin > end for span in self.spans[where])

    def in_touch(self, vm, begin, end):
        """As calm(), and the VM was not stopped or started as planned either."""
        return self.calm(vm, begin, end) and self.calm(vm + " planned", begin, end)

    # What comes back.

    def check_answer(self, one):
        if one.malformed:
            self.fault("MIXED", f"{one.id}: {one.malformed}")
        if one.status is None:
            return
        if one.answer_id and one.answer_id != one.id:
            self.fault("MIXED", f"{one.id}: answer of {one.answer_id}")
        own = [run for run in self.ran_by_id[one.id]
               if run.signature and run.signature == one.signature]
        if one.signature and not own:
            self.fault("MIXED", f"{one.id}: signature {one.signature} is no server's")
        if 200 <= one.status < 300:
            if not any(run.status == one.status and run.answer == one.answer for run in own):
                self.fault("MIXED", f"{one.id}: {one.status} is not a server's whole answer")
        elif own and all(run.status != one.status for run in own):
            self.fault("MIXED", f"{one.id}: signed {one.status}, the server said {own[0].status}")

    # What servers run.

    def check_runs(self, one):
        runs = [run for run in self.ran_by_id[one.id] if run.executed]
        if not one.safe and len(runs) > 1:
            self.fault("TWICE", f"{one.id}: ran {len(runs)} times, "
                                f"at {', '.join(run.server for run in runs)}")
        if not one.safe and runs and one.status in PROMISES_NOT_RUN:
            self.fault("REFUSED", f"{one.id}: {one.status} from {one.vm}, ran at {runs[0].server}")
        if len({run.server for run in runs}) > one.max_attempts:
            self.fault("BUDGET", f"{one.id}: ran on more than {one.max_attempts} servers")
        for run in self.ran_by_id[one.id]:
            if (run.method, run.target, run.body) != (one.method, one.target, one.body):
                self.fault("UNASKED", f"{one.id}: {run.server} got {run.method} {run.target}")
            if run.time_left > one.time_left + DEADLINE_SLACK:
                self.fault("BUDGET", f"{one.id}: {run.server} was given {run.time_left:.2f} s "
                                     f"of {one.time_left:.2f} s")

    def check_strangers(self):
        for one in self.history.ran:
            if one.id not in self.by_id:
                self.fault("UNASKED", f"{one.server} got the unknown request {one.id!r}")

    # Configuration.

    def check_configuration(self, one):
        """Versions in force at some time between the bound before sending and the end."""
        times = [at for at, _ in self.history.versions]
        oldest = bisect.bisect_right(times, one.at - self.bounds["config"]) - 1
        newest = bisect.bisect_right(times, one.ended) - 1
        if oldest < 0:
            return
        in_time = self.in_touch(one.vm, one.at, one.at) and self.calm("store", one.at, one.at)
        allowed = self.history.versions[oldest if in_time else 0:newest + 1]
        for run in self.ran_by_id[one.id]:
            if all(run.service not in routes.get(one.route, ()) for _, routes in allowed):
                rule = "CONFIG" if self.ever_allowed(one.route, run.service) else "ROUTE"
                self.fault(rule, f"{one.id}: {one.route} ran at {run.service} ({run.server})")
        if one.status == 404 and not one.signature:
            if in_time and all(one.route in routes for _, routes in allowed):
                self.fault("CONFIG", f"{one.id}: 404 for the route {one.route} at {one.vm}")

    def ever_allowed(self, route, service):
        return any(service in routes.get(route, ()) for _, routes in self.history.versions)

    # Leaving servers and planned stops.

    def check_leaving(self):
        left = {}
        for server, at in self.history.leaving:
            left.setdefault(server, at)
        for run in self.history.ran:
            one = self.by_id.get(run.id)
            if one is None or run.server not in left:
                continue
            late = one.at - left[run.server] - self.bounds["drain"]
            calm = self.in_touch(one.vm, left[run.server], run.at) and \
                self.calm("store", left[run.server], one.at)
            if late > 0 and calm:
                self.fault("DRAIN", f"{run.id}: {run.server} got it {late:.2f} s after the bound")

    def check_cut_connections(self):
        """A request that reached a sound server must not end with a cut connection."""
        cut = collections.Counter()
        for one in self.history.sent:
            if one.status is not None or one.gave_up:
                continue
            runs = self.ran_by_id[one.id]
            sound = runs and all(run.answered and self.calm(run.server, one.at, one.ended)
                                 for run in runs)
            in_time = one.ended - one.at < one.time_left
            if sound and in_time and self.calm(one.vm, one.at, one.ended):
                stopped = any(vm == one.vm and at <= one.ended < at + self.bounds["grace"] + 1.0
                              for vm, at in self.history.stops)
                if stopped:
                    self.fault("LOST", f"{one.id}: cut off by the planned stop of {one.vm}")
                elif one.on_kept_connection:
                    cut[one.vm] += 1
        for vm, count in cut.items():
            if count > FEW:
                self.fault("LOST", f"{vm}: {count} requests ended without an answer")

    # Retries.

    def check_retry_budget(self):
        window = self.bounds["budget_window"]
        firsts = collections.defaultdict(list)
        extra = collections.defaultdict(list)
        seen = set()
        for run in sorted(self.history.ran, key=lambda one: one.at):
            if run.id in seen:
                extra[run.service].append(run.at)
            else:
                seen.add(run.id)
                firsts[run.service].append(run.at)
        for service, times in extra.items():
            for index, end in enumerate(times):
                begin = end - window
                count = index + 1 - bisect.bisect_left(times, begin)
                most = max(self.between(firsts[service], begin - shift, end - shift)
                           for shift in (0.0, window / 2, window))
                allowed = self.bounds["budget_ratio"] * most + self.bounds["budget_slack"]
                if count > allowed:
                    self.fault("BUDGET", f"{service}: {count} second sends, {allowed:.0f} allowed")
                    break

    @staticmethod
    def between(times, begin, end):
        return bisect.bisect_right(times, end) - bisect.bisect_left(times, begin)

    # Processes.

    def check_ends(self):
        for vm, at, status in self.history.ends:
            self.fault("FAULT", f"{vm} ended by itself at {at:.1f} s with status {status}")

    def check_recovery(self):
        for back in self.history.returns:
            begin = back + self.bounds["recovery"]
            later = [one for one in self.history.sent
                     if begin < one.at < begin + self.bounds["recovery"] and not one.gave_up]
            served = sum(1 for one in later if one.status is not None and one.status < 300)
            if len(later) >= FEWEST_TO_JUDGE and served < RECOVERED_SHARE * len(later):
                self.fault("RECOVER", f"{served} of {len(later)} served after the kill of all")

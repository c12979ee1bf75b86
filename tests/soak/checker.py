"""Checks the documented guarantees against what callers and backend servers recorded."""

import bisect
import collections
import math

# Answers with these statuses state that the request was not executed.
NOT_RUN_STATUSES = {408, 421, 429, 503}
# How much later than the caller's a deadline given to a server may be, seconds.
DEADLINE_SLACK = 0.5
# Minimum share of requests served after recovery, and requests needed to judge it.
RECOVERED_SHARE = 0.25
MIN_JUDGED_REQUESTS = 20
# Requests of one VM that may end with a cut connection although nothing was disturbed.
MAX_CUT_REQUESTS = 3
# How long a VM may take to heed Retry-After, and how many requests a server may get after that.
RETRY_AFTER_REACTION_S = 0.5
MAX_TURNED_AWAY_REQUESTS = 2
# Requests to a server in a window exceed its Server-Limit beyond this factor and number; a VM counts
# from so long after it passed the limit on.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SPARE_REQUESTS = 5
LIMIT_REACTION_S = 0.5
# Crashes after which a request counts as the cause, and how often it may be sent after that.
CRASHES_TO_BLAME = 3
MAX_SENT_AFTER_CRASHES = 3


class Checker:
    """Checks one history; violations are (rule, text)."""

    def __init__(self, history):
        self.history = history
        self.bounds = history.bounds
        self.violations = []
        self.requests_by_id = {request.id: request for request in history.sent}
        self.attempts_by_id = collections.defaultdict(list)
        for attempt in history.ran:
            self.attempts_by_id[attempt.id].append(attempt)
        self.spans = collections.defaultdict(list)
        for span in history.spans:
            self.spans[span.where].append(span)
        # How much the checks with a condition judged, by check.
        self.judged = collections.Counter()

    def check(self):
        for request in self.history.sent:
            self.check_answer(request)
            self.check_runs(request)
            self.check_configuration(request)
        self.check_unknown_requests()
        self.check_configuration_order()
        self.check_leaving_servers()
        self.check_announced_leaving()
        self.check_turned_away()
        self.check_limits()
        self.check_crashing_requests()
        self.check_cut_connections()
        self.check_retry_budget()
        self.check_process_ends()
        self.check_stops()
        self.check_recovery()
        return self.violations

    def add_violation(self, rule, text):
        self.violations.append((rule, text))

    def was_undisturbed(self, where, begin, end):
        """Whether nothing disturbed a VM, a server or the store from begin to end.

        The stability_window before begin must be undisturbed too.
        """
        begin -= self.bounds["stability_window"]
        return all(span.end < begin or span.begin > end for span in self.spans[where])

    def was_undisturbed_and_up(self, vm, begin, end):
        """As was_undisturbed(), and the VM had no planned stop or start in that time either."""
        return self.was_undisturbed(vm, begin, end) and \
            self.was_undisturbed(vm + " planned", begin, end)

    def was_running(self, vm, begin, end):
        """Whether a VM was neither stopped, started nor paused from begin to end."""
        return all(span.end < begin or span.begin > end for span in self.spans[vm + " process"])

    # Answers.

    def check_answer(self, request):
        if request.malformed:
            self.add_violation("MIXED", f"{request.id}: {request.malformed}")
        if request.status is None:
            return
        if request.answer_id and request.answer_id != request.id:
            self.add_violation("MIXED", f"{request.id}: answer of {request.answer_id}")
        own_attempts = [attempt for attempt in self.attempts_by_id[request.id]
                        if attempt.signature and attempt.signature == request.signature]
        if request.signature and not own_attempts:
            self.add_violation("MIXED", f"{request.id}: no server sent the signature "
                                        f"{request.signature}")
        if 200 <= request.status < 300:
            if not any(attempt.status == request.status and attempt.answer == request.answer
                       for attempt in own_attempts):
                self.add_violation("MIXED", f"{request.id}: {request.status} is not a server's "
                                            "complete answer")
        elif own_attempts and all(attempt.status != request.status for attempt in own_attempts):
            self.add_violation("MIXED", f"{request.id}: signed {request.status}, the server sent "
                                        f"{own_attempts[0].status}")

    # Attempts.

    def check_runs(self, request):
        executed = [attempt for attempt in self.attempts_by_id[request.id] if attempt.executed]
        if not request.safe and len(executed) > 1:
            self.add_violation("TWICE", f"{request.id}: ran {len(executed)} times, "
                                        f"at {', '.join(attempt.server for attempt in executed)}")
        if not request.safe and executed and request.status in NOT_RUN_STATUSES:
            self.add_violation("REFUSED", f"{request.id}: {request.status} from {request.vm}, "
                                          f"ran at {executed[0].server}")
        if len({attempt.server for attempt in executed}) > request.max_attempts:
            self.add_violation("BUDGET", f"{request.id}: ran on more than "
                                         f"{request.max_attempts} servers")
        for attempt in self.attempts_by_id[request.id]:
            if (attempt.method, attempt.target, attempt.body) != \
                    (request.method, request.target, request.body):
                self.add_violation("UNASKED", f"{request.id}: {attempt.server} got "
                                              f"{attempt.method} {attempt.target}")
            if attempt.time_left > request.time_left + DEADLINE_SLACK:
                self.add_violation("BUDGET", f"{request.id}: {attempt.server} was given "
                                             f"{attempt.time_left:.2f} s "
                                             f"of {request.time_left:.2f} s")

    def check_unknown_requests(self):
        for attempt in self.history.ran:
            if attempt.id not in self.requests_by_id:
                self.add_violation("UNASKED", f"{attempt.server} got the unknown request "
                                              f"{attempt.id!r}")

    # Configuration.

    def check_configuration(self, request):
        """Checks where the request ran, or why it was not found, by the versions then in force.

        These are the versions from the "config" bound before sending to the end of the request;
        all older ones count too when the VM or the store was disturbed. A slow link adds the time
        that the newest version takes on it to the bound.
        """
        times = [at for at, _ in self.history.versions]
        bound = self.bounds["config"] + self.transfer_time(request)
        oldest = sum(1 for at in times if self.history.due(at, bound) <= request.at) - 1
        newest = bisect.bisect_right(times, request.ended) - 1
        if oldest < 0:
            return
        must_be_current = self.was_undisturbed_and_up(request.vm, request.at, request.at) and \
            self.was_undisturbed("store", request.at, request.at)
        allowed = self.history.versions[oldest if must_be_current else 0:newest + 1]
        if bound > self.bounds["config"] and must_be_current:
            self.judged["configuration over a slow link"] += 1
        for attempt in self.attempts_by_id[request.id]:
            if all(attempt.service not in routes.get(request.route, ()) for _, routes in allowed):
                rule = "CONFIG" if self.was_ever_allowed(request.route, attempt.service) \
                    else "ROUTE"
                self.add_violation(rule, f"{request.id}: {request.route} ran at "
                                         f"{attempt.service} ({attempt.server})")
        if request.status == 404 and not request.signature:
            if must_be_current and all(request.route in routes for _, routes in allowed):
                self.add_violation("CONFIG", f"{request.id}: 404 for the route "
                                             f"{request.route} at {request.vm}")

    def transfer_time(self, request):
        """How long the configuration that is newest at the request takes on the VM's slow link."""
        sizes = [size for at, size in self.history.version_bytes if at <= request.at]
        rates = [link.bytes_per_s for link in self.history.slow_links if link.vm == request.vm
                 and link.begin <= request.at <= link.end + self.bounds["config"]]
        return sizes[-1] / min(rates) if sizes and rates else 0.0

    def check_configuration_order(self):
        """A VM that acted on a version must not act on an older one later, unless restarted."""
        seen = collections.defaultdict(list)
        for request in self.history.sent:
            if shown := self.shown_versions(request):
                seen[request.vm].append((request, shown))
        for vm, requests in seen.items():
            edges = sorted(edge for span in self.spans[vm + " process"]
                           for edge in (span.begin, span.end))
            by_end = sorted(requests, key=lambda entry: entry[0].ended)
            floors = collections.defaultdict(int)
            index = 0
            for request, shown in sorted(requests, key=lambda entry: entry[0].at):
                while by_end[index][0].ended < request.at:
                    earlier, earlier_shown = by_end[index]
                    run = bisect.bisect_right(edges, earlier.at)
                    if run == bisect.bisect_right(edges, earlier.ended):
                        floors[run] = max(floors[run], earlier_shown[0])
                    index += 1
                floor = floors[bisect.bisect_right(edges, request.at)]
                self.judged["order of versions"] += floor > 0
                if shown[-1] < floor:
                    self.add_violation("CONFIG", f"{request.id}: {vm} went back from version "
                                                 f"{floor} to {shown[-1]} or older")

    def shown_versions(self, request):
        """Indices of the versions that explain where the request ran or why it was not found."""
        services = {attempt.service for attempt in self.attempts_by_id[request.id]}
        is_unknown = request.status == 404 and not request.signature
        return [index for index, (at, routes) in enumerate(self.history.versions)
                if at <= request.ended and
                (request.route not in routes if is_unknown
                 else services & set(routes.get(request.route, ())))]

    def was_ever_allowed(self, route, service):
        return any(service in routes.get(route, ()) for _, routes in self.history.versions)

    # Leaving servers, cut connections and planned stops.

    def check_leaving_servers(self):
        leaving_since = {}
        for server, at in self.history.leaving:
            leaving_since.setdefault(server, at)
        for attempt in self.history.ran:
            request = self.requests_by_id.get(attempt.id)
            if request is None or attempt.server not in leaving_since:
                continue
            late = request.at - self.history.due(leaving_since[attempt.server],
                                                 self.bounds["drain"])
            undisturbed = self.was_undisturbed_and_up(
                request.vm, leaving_since[attempt.server], attempt.at) and \
                self.was_undisturbed("store", leaving_since[attempt.server], request.at)
            if late > 0 and undisturbed:
                self.add_violation("DRAIN", f"{attempt.id}: {attempt.server} got it "
                                            f"{late:.2f} s after the bound")

    def check_announced_leaving(self):
        """After an answer with Server-Leaving, the VM that passed it on stops using that server."""
        passed_on = {}
        for request in sorted(self.history.sent, key=lambda request: request.ended):
            for attempt in self.attempts_by_id[request.id]:
                if attempt.leaving and attempt.signature and \
                        attempt.signature == request.signature:
                    passed_on.setdefault((request.vm, attempt.server), request.ended)
        self.judged["announced leaving"] += len(passed_on)
        for attempt in self.history.ran:
            request = self.requests_by_id.get(attempt.id)
            since = passed_on.get((request.vm, attempt.server)) if request else None
            late = request.at - since - self.bounds["drain"] if since is not None else 0.0
            if late > 0 and self.was_running(request.vm, since, attempt.at):
                self.add_violation("DRAIN", f"{attempt.id}: {attempt.server} got it from "
                                            f"{request.vm} {late:.2f} s after the bound of its "
                                            "Server-Leaving")

    def check_turned_away(self):
        """A server that answered 503 with Retry-After gets at most two requests of that VM."""
        received = collections.defaultdict(list)
        for attempt in self.history.ran:
            if attempt.id in self.requests_by_id:
                vm = self.requests_by_id[attempt.id].vm
                received[vm, attempt.server].append(attempt)
        for (vm, server), attempts in received.items():
            times = sorted(attempt.at for attempt in attempts)
            for attempt in attempts:
                begin = attempt.refused_at + RETRY_AFTER_REACTION_S
                end = attempt.refused_at + attempt.retry_after
                if begin >= end or not all(
                        span.end < attempt.refused_at or span.begin > end
                        for where in (vm, vm + " process", server) for span in self.spans[where]):
                    continue
                self.judged["turned away"] += 1
                count = self.count_between(times, begin, end)
                if count > MAX_TURNED_AWAY_REQUESTS:
                    self.add_violation("BUDGET", f"{server} got {count} requests from {vm} within "
                                                 f"the {attempt.retry_after:g} s of Retry-After")

    def check_limits(self):
        """VMs that passed an answer with Server-Limit on keep it, together."""
        told = collections.defaultdict(dict)
        for request in sorted(self.history.sent, key=lambda request: request.ended):
            for attempt in self.attempts_by_id[request.id]:
                if attempt.limited and attempt.signature and \
                        attempt.signature == request.signature:
                    told[attempt.server].setdefault(request.vm, request.ended)
        received = collections.defaultdict(list)
        for attempt in sorted(self.history.ran, key=lambda attempt: attempt.at):
            request = self.requests_by_id.get(attempt.id)
            since = told[attempt.server].get(request.vm) if request else None
            if since is not None and attempt.at >= since + LIMIT_REACTION_S and all(
                    span.end + LIMIT_WINDOW_S < attempt.at or span.begin > attempt.at
                    for where in (request.vm, request.vm + " process")
                    for span in self.spans[where]):
                received[attempt.server].append(attempt.at)
        for server, times in received.items():
            named = [(at, limit) for name, at, limit in self.history.limits if name == server]
            for begin in times:
                if begin < named[0][0] + self.bounds["stability_window"]:
                    continue
                allowed = LIMIT_FACTOR * self.limited_requests(named, begin) + LIMIT_SPARE_REQUESTS
                self.judged["limit"] += allowed < math.inf
                count = self.count_between(times, begin, begin + LIMIT_WINDOW_S)
                if count > allowed:
                    self.add_violation("LIMIT", f"{server} got {count} requests in "
                                                f"{LIMIT_WINDOW_S:g} s from {begin:.1f} s on, "
                                                f"allowed {allowed:.1f}")
                    break

    def check_crashing_requests(self):
        """A request that has crashed three servers is hardly sent any more."""
        crashes = collections.defaultdict(list)
        for target, at in self.history.crashes:
            crashes[target].append(at)
        for target, times in crashes.items():
            if len(times) < CRASHES_TO_BLAME:
                continue
            begin = sorted(times)[CRASHES_TO_BLAME - 1] + self.bounds["stability_window"]
            late = [attempt for attempt in self.history.ran
                    if attempt.target == target and attempt.at > begin
                    and self.sent_by_running_vm(attempt)]
            self.judged["crashing request"] += 1
            if len(late) > MAX_SENT_AFTER_CRASHES:
                self.add_violation("BUDGET", f"{target} crashed {len(times)} servers, was sent "
                                             f"{len(late)} times more")

    def sent_by_running_vm(self, attempt):
        request = self.requests_by_id.get(attempt.id)
        return request is not None and self.was_running(
            request.vm, attempt.at - self.bounds["stability_window"], attempt.at)

    @staticmethod
    def limited_requests(named, begin):
        """How many requests the limits of a server allow in the window."""
        ends = [at for at, _ in named[1:]] + [math.inf]
        return sum(max(0.0, min(end, begin + LIMIT_WINDOW_S) - max(at, begin)) *
                   (math.inf if limit is None else limit)
                   for (at, limit), end in zip(named, ends)
                   if min(end, begin + LIMIT_WINDOW_S) > max(at, begin))

    def check_cut_connections(self):
        """A request that an undisturbed server answered must not end with a cut connection."""
        cut_requests = collections.Counter()
        for request in self.history.sent:
            if request.status is not None or request.gave_up:
                continue
            attempts = self.attempts_by_id[request.id]
            answered_undisturbed = attempts and all(
                attempt.answered
                and self.was_undisturbed(attempt.server, request.at, request.ended)
                for attempt in attempts)
            before_deadline = request.ended - request.at < request.time_left
            if answered_undisturbed and before_deadline and \
                    self.was_undisturbed(request.vm, request.at, request.ended):
                stopped = any(vm == request.vm
                              and at <= request.ended < at + self.bounds["grace"] + 1.0
                              for vm, at in self.history.stops)
                if stopped:
                    self.add_violation("LOST", f"{request.id}: cut off by the planned stop "
                                               f"of {request.vm}")
                elif request.on_kept_connection:
                    cut_requests[request.vm] += 1
        for vm, count in cut_requests.items():
            if count > MAX_CUT_REQUESTS:
                self.add_violation("LOST", f"{vm}: {count} requests ended without an answer")

    # Retries.

    def check_retry_budget(self):
        window = self.bounds["budget_window"]
        first_attempts = collections.defaultdict(list)
        retries = collections.defaultdict(list)
        seen_ids = set()
        for attempt in sorted(self.history.ran, key=lambda attempt: attempt.at):
            if attempt.id in seen_ids:
                retries[attempt.service].append(attempt.at)
            else:
                seen_ids.add(attempt.id)
                first_attempts[attempt.service].append(attempt.at)
        for service, times in retries.items():
            for index, end in enumerate(times):
                begin = end - window
                count = index + 1 - bisect.bisect_left(times, begin)
                max_first_attempts = max(
                    self.count_between(first_attempts[service], begin - shift, end - shift)
                    for shift in (0.0, window / 2, window))
                allowed = self.bounds["budget_ratio"] * max_first_attempts + \
                    self.bounds["budget_slack"]
                if count > allowed:
                    self.add_violation("BUDGET", f"{service}: {count} retries, "
                                                 f"{allowed:.0f} allowed")
                    break

    @staticmethod
    def count_between(times, begin, end):
        return bisect.bisect_right(times, end) - bisect.bisect_left(times, begin)

    # Processes.

    def check_process_ends(self):
        for vm, at, status in self.history.ends:
            self.add_violation("FAULT", f"{vm} ended unexpectedly at {at:.1f} s "
                                        f"with status {status}")

    def check_stops(self):
        for vm, at, text in self.history.bad_stops:
            self.add_violation("STOP", f"{vm}, told to stop at {at:.1f} s: {text}")

    def check_recovery(self):
        for restarted_at in self.history.returns:
            begin = restarted_at + self.bounds["recovery"]
            judged = [request for request in self.history.sent
                      if begin < request.at < begin + self.bounds["recovery"]
                      and not request.gave_up]
            served = sum(1 for request in judged
                         if request.status is not None and request.status < 300)
            if len(judged) >= MIN_JUDGED_REQUESTS and served < RECOVERED_SHARE * len(judged):
                self.add_violation("RECOVER", f"{served} of {len(judged)} served after the "
                                              "kill of all")

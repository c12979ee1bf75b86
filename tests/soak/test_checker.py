"""Tests of the checker on valid and invalid histories."""

import unittest

from checker import Checker
from history import Attempt, History, Outage, SentRequest, SlowLink, Span

BOUNDS = {"grace": 6.0, "drain": 2.0, "config": 2.0, "stability_window": 3.0, "recovery": 15.0,
          "budget_ratio": 0.2, "budget_window": 10.0, "budget_slack": 2}


def request(**changes):
    fields = {"id": "q1", "vm": "vm-0", "route": "look", "method": "GET", "target": "/look/1",
              "body": "b", "safe": True, "max_attempts": 2, "time_left": 1.5, "at": 20.0,
              "ended": 20.1, "status": 200, "answer_id": "q1", "signature": "s1", "answer": "a1",
              "on_kept_connection": True}
    return SentRequest(**{**fields, **changes})


def attempt(**changes):
    fields = {"id": "q1", "server": "i-1", "service": "desk", "method": "GET", "target": "/look/1",
              "body": "b", "at": 20.02, "time_left": 1.4, "status": 200, "signature": "s1",
              "answer": "a1", "answered": True}
    return Attempt(**{**fields, **changes})


def make_history(requests, attempts, **changes):
    history = History(BOUNDS, sent=requests, ran=attempts, versions=[(0.0, {"look": {"desk"}})])
    for name, value in changes.items():
        setattr(history, name, value)
    return history


class CheckerTest(unittest.TestCase):
    def violated_rules(self, *given, **changes):
        return {rule for rule, _ in Checker(make_history(*given, **changes)).check()}

    def expect_violation(self, rule, *given, **changes):
        self.assertEqual({rule}, self.violated_rules(*given, **changes))

    def test_request_served_once(self):
        self.assertEqual(set(), self.violated_rules([request()], [attempt()]))

    def test_refused_and_not_run(self):
        refused = request(status=503, signature="", answer="", safe=False)
        self.assertEqual(set(), self.violated_rules([refused],
                                                    [attempt(executed=False, signature="")]))

    def test_success_without_signature(self):
        self.expect_violation("MIXED", [request(signature="")], [attempt()])

    def test_success_with_a_part_of_the_body(self):
        self.expect_violation("MIXED", [request(answer="part")], [attempt()])

    def test_success_although_the_server_failed(self):
        self.expect_violation("MIXED", [request()], [attempt(status=500)])

    def test_signed_failure_with_another_status(self):
        self.expect_violation("MIXED", [request(status=502)], [attempt(status=500)])

    def test_answer_of_another_request(self):
        self.expect_violation("MIXED", [request(answer_id="q2")], [attempt()])

    def test_signature_of_no_server(self):
        self.expect_violation("MIXED", [request(status=500, signature="s9")], [attempt(status=500)])

    def test_bytes_that_are_no_answer(self):
        self.expect_violation("MIXED", [
            request(status=None, malformed="no start line", gave_up=True)], [])

    def test_attempt_of_an_unknown_request(self):
        self.expect_violation("UNASKED", [request()], [attempt(), attempt(id="q7")])

    def test_changed_body(self):
        self.expect_violation("UNASKED", [request()], [attempt(body="c")])

    def test_changed_target(self):
        self.expect_violation("UNASKED", [request()], [attempt(target="/look/2")])

    def test_unsafe_request_ran_twice(self):
        self.expect_violation("TWICE", [request(safe=False)],
                              [attempt(), attempt(server="i-2", at=20.05)])

    def test_refused_although_it_ran(self):
        self.expect_violation("REFUSED", [request(safe=False, status=503, signature="")],
                              [attempt()])

    def test_refused_and_ran_later(self):
        self.expect_violation("REFUSED", [request(safe=False, status=429, signature="")],
                              [attempt(at=25.0)])

    def test_too_many_attempts(self):
        self.expect_violation("BUDGET", [request()],
                              [attempt(server=f"i-{number}") for number in range(3)])

    def test_attempt_with_a_later_deadline(self):
        self.expect_violation("BUDGET", [request()], [attempt(time_left=3.0)])

    def test_retry_budget_exceeded(self):
        requests = [request(id=f"q{number}", answer_id=f"q{number}") for number in range(5)]
        attempts = [attempt(id=f"q{number}", server=f"i-{server}") for number in range(5)
                    for server in range(2)]
        self.expect_violation("BUDGET", requests, attempts)

    def test_retry_budget_kept(self):
        requests = [request(id=f"q{number}", answer_id=f"q{number}") for number in range(20)]
        attempts = [attempt(id=f"q{number}") for number in range(20)]
        attempts += [attempt(id=f"q{number}", server="i-2") for number in range(5)]
        self.assertEqual(set(), self.violated_rules(requests, attempts))

    def test_older_configuration(self):
        versions = [(0.0, {"look": {"desk"}}), (10.0, {"look": {"view"}})]
        self.expect_violation("CONFIG", [request()], [attempt()], versions=versions)

    def test_configuration_not_due_yet(self):
        versions = [(0.0, {"look": {"desk"}}), (19.0, {"look": {"view"}})]
        self.assertEqual(set(), self.violated_rules([request()], [attempt()], versions=versions))

    def test_older_configuration_after_a_disturbance(self):
        versions = [(0.0, {"look": {"desk"}}), (10.0, {"look": {"view"}})]
        self.assertEqual(set(), self.violated_rules([request()], [attempt()], versions=versions,
                                                    spans=[Span("vm-0", 9.0, 18.0)]))

    def test_service_that_was_never_allowed(self):
        self.expect_violation("ROUTE", [request()], [attempt(service="view")])

    def test_not_found_for_a_configured_route(self):
        self.expect_violation("CONFIG", [request(status=404, signature="")], [])

    def grown_configuration(self, at, slow_links):
        """The route "grown" is added at 10 s; its version takes 1.5 s on a link of 100 kB/s."""
        versions = [(0.0, {"look": {"desk"}}), (10.0, {"look": {"desk"}, "grown": {"desk"}})]
        refused = request(route="grown", status=404, signature="", at=at, ended=at + 0.1)
        return self.violated_rules([refused], [], versions=versions, slow_links=slow_links,
                                   version_bytes=[(0.0, 1000), (10.0, 150000)])

    def test_added_route_unknown_after_the_time_on_a_slow_link(self):
        self.assertEqual({"CONFIG"},
                         self.grown_configuration(13.6, [SlowLink("vm-0", 5.0, 30.0, 100e3)]))

    def test_added_route_unknown_within_the_time_on_a_slow_link(self):
        self.assertEqual(set(),
                         self.grown_configuration(13.4, [SlowLink("vm-0", 5.0, 30.0, 100e3)]))

    def test_added_route_unknown_at_a_vm_with_a_fast_link(self):
        self.assertEqual({"CONFIG"},
                         self.grown_configuration(12.1, [SlowLink("vm-1", 5.0, 30.0, 100e3)]))

    def test_added_route_unknown_after_a_slow_link_became_fast(self):
        self.assertEqual({"CONFIG"},
                         self.grown_configuration(13.4, [SlowLink("vm-0", 5.0, 11.0, 100e3)]))

    def moved_back(self, **changes):
        """vm-0 acts on the version of 10 s, and at 11 s on the older one again."""
        requests = [request(at=10.5, ended=10.6),
                    request(id="q2", answer_id="q2", at=11.0, ended=11.1, signature="s2")]
        attempts = [attempt(service="view", at=10.52),
                    attempt(id="q2", at=11.02, signature="s2")]
        versions = [(0.0, {"look": {"desk"}}), (10.0, {"look": {"view"}})]
        return self.violated_rules(requests, attempts, versions=versions, **changes)

    def test_configuration_that_goes_back(self):
        self.assertEqual({"CONFIG"}, self.moved_back())

    def test_configuration_that_goes_back_during_an_outage(self):
        self.assertEqual({"CONFIG"}, self.moved_back(outages=[Outage(10.2, 13.0)]))

    def test_configuration_that_goes_back_in_a_restarted_vm(self):
        self.assertEqual(set(), self.moved_back(spans=[Span("vm-0 process", 10.7, 10.9)]))

    def test_route_that_is_unknown_again(self):
        requests = [request(route="new", at=10.5, ended=10.6),
                    request(id="q2", answer_id="q2", route="new", status=404, signature="",
                            at=11.0, ended=11.1)]
        versions = [(0.0, {"look": {"desk"}}), (10.0, {"new": {"desk"}})]
        self.expect_violation("CONFIG", requests, [attempt(at=10.52)], versions=versions)

    def test_older_configuration_after_an_outage(self):
        versions = [(0.0, {"look": {"desk"}}), (10.0, {"look": {"view"}})]
        self.expect_violation("CONFIG", [request()], [attempt()], versions=versions,
                              outages=[Outage(11.0, 17.9)])

    def test_older_configuration_within_the_bound_after_an_outage(self):
        versions = [(0.0, {"look": {"desk"}}), (10.0, {"look": {"view"}})]
        self.assertEqual(set(), self.violated_rules([request()], [attempt()], versions=versions,
                                                    outages=[Outage(11.0, 18.1)]))

    def test_older_configuration_at_an_outage_after_the_bound(self):
        versions = [(0.0, {"look": {"desk"}}), (10.0, {"look": {"view"}})]
        self.expect_violation("CONFIG", [request()], [attempt()], versions=versions,
                              outages=[Outage(19.0, 22.0)])

    def test_leaving_server_after_an_outage(self):
        self.expect_violation("DRAIN", [request()], [attempt()], leaving=[("i-1", 15.0)],
                              outages=[Outage(16.0, 17.9)])

    def test_leaving_server_within_the_bound_after_an_outage(self):
        self.assertEqual(set(), self.violated_rules([request()], [attempt()],
                                                    leaving=[("i-1", 15.0)],
                                                    outages=[Outage(16.0, 18.1)]))

    def announced_leaving(self, at, **changes):
        """vm-0 has passed on an answer with Server-Leaving at 10.1 s; a request follows."""
        requests = [request(at=10.0, ended=10.1),
                    request(id="q2", answer_id="q2", at=at, ended=at + 0.1, signature="s2",
                            **changes.pop("second", {}))]
        attempts = [attempt(at=10.02, leaving=True),
                    attempt(id="q2", at=at + 0.02, signature="s2", leaving=True)]
        return self.violated_rules(requests, attempts, **changes)

    def test_request_after_the_bound_of_an_announced_leave(self):
        self.assertEqual({"DRAIN"}, self.announced_leaving(12.2))

    def test_request_after_an_announced_leave_while_the_store_is_away(self):
        self.assertEqual({"DRAIN"}, self.announced_leaving(12.2, spans=[Span("store", 9.0, 20.0)]))

    def test_request_after_an_announced_leave_from_a_vm_out_of_touch(self):
        self.assertEqual({"DRAIN"}, self.announced_leaving(12.2, spans=[Span("vm-0", 9.0, 20.0)]))

    def test_request_within_the_bound_of_an_announced_leave(self):
        self.assertEqual(set(), self.announced_leaving(12.0))

    def test_request_after_an_announced_leave_from_another_vm(self):
        self.assertEqual(set(), self.announced_leaving(12.2, second={"vm": "vm-1"}))

    def test_request_after_an_announced_leave_from_a_restarted_vm(self):
        self.assertEqual(set(), self.announced_leaving(
            12.2, spans=[Span("vm-0 process", 11.0, 11.5)]))

    def turned_away(self, times, **changes):
        """i-1 refuses a request of vm-0 at 10 s with Retry-After 2.5 and gets more at the times."""
        requests = [request(at=9.9, ended=10.1, status=503, signature="")]
        attempts = [attempt(at=9.95, executed=False, signature="", retry_after=2.5,
                            refused_at=10.0)]
        for number, at in enumerate(times):
            requests.append(request(id=f"r{number}", answer_id=f"r{number}", at=at, ended=at + 0.1,
                                    signature=f"t{number}", **changes.get("others", {})))
            attempts.append(attempt(id=f"r{number}", at=at, signature=f"t{number}"))
        return self.violated_rules(requests, attempts, spans=changes.get("spans", []))

    def test_three_requests_to_a_server_that_turned_one_away(self):
        self.assertEqual({"BUDGET"}, self.turned_away([10.6, 11.0, 12.4]))

    def test_two_requests_to_a_server_that_turned_one_away(self):
        self.assertEqual(set(), self.turned_away([10.1, 10.4, 10.6, 12.4, 12.6, 12.7]))

    def test_requests_of_another_vm_to_a_server_that_turned_one_away(self):
        self.assertEqual(set(), self.turned_away([10.6, 11.0, 12.4], others={"vm": "vm-1"}))

    def test_requests_of_a_cut_vm_to_a_server_that_turned_one_away(self):
        self.assertEqual(set(), self.turned_away([10.6, 11.0, 12.4],
                                                 spans=[Span("vm-0", 10.2, 10.3)]))

    def limited(self, times, limits, **changes):
        """i-1 names its limits; vm-0 passes an answer with one on at 10 s and sends at the times."""
        requests = [request(at=9.9, ended=10.0)]
        attempts = [attempt(at=9.95, limited=True)]
        for number, at in enumerate(times):
            requests.append(request(id=f"r{number}", answer_id=f"r{number}", at=at, ended=at + 0.1,
                                    signature=f"t{number}", **changes.get("others", {})))
            attempts.append(attempt(id=f"r{number}", at=at, signature=f"t{number}"))
        return self.violated_rules(requests, attempts, spans=changes.get("spans", []),
                                   limits=[("i-1", *limit) for limit in limits])

    def test_twelve_requests_in_four_seconds_at_a_limit_of_one(self):
        self.assertEqual({"LIMIT"}, self.limited([14 + 0.3 * n for n in range(12)], [(9.0, 1.0)]))

    def test_eleven_requests_in_four_seconds_at_a_limit_of_one(self):
        self.assertEqual(set(), self.limited([14 + 0.3 * n for n in range(11)], [(9.0, 1.0)]))

    def test_requests_beyond_a_limit_before_the_rule_begins(self):
        self.assertEqual(set(), self.limited([10.6 + 0.1 * n for n in range(13)], [(9.0, 1.0)]))

    def test_requests_beyond_a_limit_that_has_ended(self):
        self.assertEqual(set(), self.limited([14 + 0.3 * n for n in range(12)],
                                             [(9.0, 1.0), (16.0, None)]))

    def test_requests_beyond_a_limit_from_a_vm_that_was_not_told(self):
        self.assertEqual(set(), self.limited([14 + 0.3 * n for n in range(12)], [(9.0, 1.0)],
                                             others={"vm": "vm-1"}))

    def test_requests_beyond_a_limit_from_a_cut_vm(self):
        self.assertEqual(set(), self.limited([14 + 0.3 * n for n in range(12)], [(9.0, 1.0)],
                                             spans=[Span("vm-0", 13.0, 14.0)]))

    def crashing(self, times, **changes):
        """A request crashes servers at 10, 11 and 12 s; its copies reach servers at the times."""
        requests = [request(id=f"r{number}", answer_id="", at=at, ended=at + 0.1, status=502,
                            signature="", target="/x", safe=True, **changes.get("others", {}))
                    for number, at in enumerate(times)]
        attempts = [attempt(id=f"r{number}", at=at, signature="", target="/x")
                    for number, at in enumerate(times)]
        return self.violated_rules(requests, attempts, spans=changes.get("spans", []),
                                   crashes=[("/x", at) for at in (10.0, 11.0, 12.0)])

    def test_four_copies_of_a_request_that_crashed_three_servers(self):
        self.assertEqual({"BUDGET"}, self.crashing([15.1, 16, 17, 18]))

    def test_three_copies_of_a_request_that_crashed_three_servers(self):
        self.assertEqual(set(), self.crashing([14.9, 15.1, 16, 17]))

    def test_copies_of_a_crashing_request_from_a_vm_that_has_just_started(self):
        self.assertEqual(set(), self.crashing([15.1, 16, 17, 18],
                                              spans=[Span("vm-0 process", 12.0, 15.5)]))

    def test_leaving_server_after_the_bound(self):
        self.expect_violation("DRAIN", [request()], [attempt()], leaving=[("i-1", 17.0)])

    def test_leaving_server_within_the_bound(self):
        self.assertEqual(set(), self.violated_rules([request()], [attempt()],
                                                    leaving=[("i-1", 18.5)]))

    def test_leaving_server_after_a_planned_start(self):
        self.assertEqual(set(), self.violated_rules([request()], [attempt()],
                                                    leaving=[("i-1", 17.0)],
                                                    spans=[Span("vm-0 planned", 16.0, 18.0)]))

    def test_cut_off_by_a_planned_stop(self):
        self.expect_violation("LOST", [request(status=None)], [attempt()], stops=[("vm-0", 19.0)])

    def test_cut_off_by_a_kill(self):
        self.assertEqual(set(), self.violated_rules([request(status=None)], [attempt()],
                                                    spans=[Span("vm-0", 20.05, 22.0)]))

    def test_too_many_cut_connections(self):
        requests = [request(id=f"q{number}", status=None) for number in range(5)]
        self.expect_violation("LOST", requests, [attempt(id=f"q{number}") for number in range(5)])

    def test_unexpected_end_of_a_process(self):
        self.expect_violation("FAULT", [request()], [attempt()], ends=[("vm-0", 12.0, -6)])

    def test_stop_that_the_process_did_not_end(self):
        self.expect_violation("STOP", [], [], bad_stops=[("vm-0", 20.0, "killed after grace")])

    def test_no_recovery(self):
        requests = [request(id=f"q{number}", answer_id="", at=40.0, ended=41.0, status=503,
                            signature="")
                    for number in range(30)]
        self.expect_violation("RECOVER", requests, [], returns=[20.0])


if __name__ == "__main__":
    unittest.main()

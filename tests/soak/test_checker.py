"""The checker itself, on histories known to be good or bad."""

import unittest

from checker import Checker
from history import History, Ran, Sent, Span

BOUNDS = {"grace": 6.0, "drain": 2.0, "config": 2.0, "stability_window": 3.0, "recovery": 15.0,
          "budget_ratio": 0.2, "budget_window": 10.0, "budget_slack": 2}


def sent(**changes):
    whole = {"id": "q1", "vm": "vm-0", "route": "look", "method": "GET", "target": "/look/1",
             "body": "b", "safe": True, "max_attempts": 2, "time_left": 1.5, "at": 20.0,
             "ended": 20.1, "status": 200, "answer_id": "q1", "signature": "s1", "answer": "a1",
             "on_kept_connection": True}
    return Sent(**{**whole, **changes})


def ran(**changes):
    whole = {"id": "q1", "server": "i-1", "service": "desk", "method": "GET", "target": "/look/1",
             "body": "b", "at": 20.02, "time_left": 1.4, "status": 200, "signature": "s1",
             "answer": "a1", "answered": True}
    return Ran(**{**whole, **changes})


def history(requests, runs, **changes):
    made = History(BOUNDS, sent=requests, ran=runs, versions=[(0.0, {"look": {"desk"}})])
    for name, value in changes.items():
        setattr(made, name, value)
    return made


class CheckerTest(unittest.TestCase):
    def rules(self, *given, **changes):
        return {rule for rule, _ in Checker(history(*given, **changes)).check()}

    def expect(self, rule, *given, **changes):
        self.assertEqual({rule}, self.rules(*given, **changes))

    def test_good(self):
        self.assertEqual(set(), self.rules([sent()], [ran()]))

    def test_refused_in_truth(self):
        refused = sent(status=503, signature="", answer="", safe=False)
        self.assertEqual(set(), self.rules([refused], [ran(executed=False, signature="")]))

    def test_success_without_signature(self):
        self.expect("MIXED", [sent(signature="")], [ran()])

    def test_success_with_a_part_of_the_body(self):
        self.expect("MIXED", [sent(answer="part")], [ran()])

    def test_success_made_of_a_failure(self):
        self.expect("MIXED", [sent()], [ran(status=500)])

    def test_signed_failure_with_another_status(self):
        self.expect("MIXED", [sent(status=502)], [ran(status=500)])

    def test_answer_of_another_request(self):
        self.expect("MIXED", [sent(answer_id="q2")], [ran()])

    def test_strange_signature(self):
        self.expect("MIXED", [sent(status=500, signature="s9")], [ran(status=500)])

    def test_bytes_that_are_no_answer(self):
        self.expect("MIXED", [sent(status=None, malformed="no start line", gave_up=True)], [])

    def test_unknown_request(self):
        self.expect("UNASKED", [sent()], [ran(), ran(id="q7")])

    def test_changed_body(self):
        self.expect("UNASKED", [sent()], [ran(body="c")])

    def test_changed_target(self):
        self.expect("UNASKED", [sent()], [ran(target="/look/2")])

    def test_twice(self):
        self.expect("TWICE", [sent(safe=False)], [ran(), ran(server="i-2", at=20.05)])

    def test_refused_though_it_ran(self):
        self.expect("REFUSED", [sent(safe=False, status=503, signature="")], [ran()])

    def test_refused_and_ran_later(self):
        self.expect("REFUSED", [sent(safe=False, status=429, signature="")], [ran(at=25.0)])

    def test_too_many_attempts(self):
        self.expect("BUDGET", [sent()], [ran(server=f"i-{number}") for number in range(3)])

    def test_more_time_than_is_left(self):
        self.expect("BUDGET", [sent()], [ran(time_left=3.0)])

    def test_retry_budget(self):
        requests = [sent(id=f"q{number}", answer_id=f"q{number}") for number in range(5)]
        runs = [ran(id=f"q{number}", server=f"i-{turn}") for number in range(5)
                for turn in range(2)]
        self.expect("BUDGET", requests, runs)

    def test_retry_budget_kept(self):
        requests = [sent(id=f"q{number}", answer_id=f"q{number}") for number in range(20)]
        runs = [ran(id=f"q{number}") for number in range(20)]
        runs += [ran(id=f"q{number}", server="i-2") for number in range(5)]
        self.assertEqual(set(), self.rules(requests, runs))

    def test_older_configuration(self):
        versions = [(0.0, {"look": {"desk"}}), (10.0, {"look": {"view"}})]
        self.expect("CONFIG", [sent()], [ran()], versions=versions)

    def test_configuration_not_due_yet(self):
        versions = [(0.0, {"look": {"desk"}}), (19.0, {"look": {"view"}})]
        self.assertEqual(set(), self.rules([sent()], [ran()], versions=versions))

    def test_older_configuration_after_a_cut(self):
        versions = [(0.0, {"look": {"desk"}}), (10.0, {"look": {"view"}})]
        self.assertEqual(set(), self.rules([sent()], [ran()], versions=versions,
                                           spans=[Span("vm-0", 9.0, 18.0)]))

    def test_service_that_was_never_allowed(self):
        self.expect("ROUTE", [sent()], [ran(service="view")])

    def test_not_found_though_the_route_is_there(self):
        self.expect("CONFIG", [sent(status=404, signature="")], [])

    def test_leaving_server(self):
        self.expect("DRAIN", [sent()], [ran()], leaving=[("i-1", 17.0)])

    def test_leaving_server_within_the_bound(self):
        self.assertEqual(set(), self.rules([sent()], [ran()], leaving=[("i-1", 18.5)]))

    def test_leaving_server_after_a_planned_start(self):
        self.assertEqual(set(), self.rules([sent()], [ran()], leaving=[("i-1", 17.0)],
                                           spans=[Span("vm-0 planned", 16.0, 18.0)]))

    def test_cut_off_by_a_planned_stop(self):
        self.expect("LOST", [sent(status=None)], [ran()], stops=[("vm-0", 19.0)])

    def test_cut_off_by_a_kill(self):
        self.assertEqual(set(), self.rules([sent(status=None)], [ran()],
                                           spans=[Span("vm-0", 20.05, 22.0)]))

    def test_many_cut_connections(self):
        requests = [sent(id=f"q{number}", status=None) for number in range(5)]
        self.expect("LOST", requests, [ran(id=f"q{number}") for number in range(5)])

    def test_process_that_ends_by_itself(self):
        self.expect("FAULT", [sent()], [ran()], ends=[("vm-0", 12.0, -6)])

    def test_no_recovery(self):
        requests = [sent(id=f"q{number}", answer_id="", at=40.0, ended=41.0, status=503,
                         signature="")
                    for number in range(30)]
        self.expect("RECOVER", requests, [], returns=[20.0])


if __name__ == "__main__":
    unittest.main()

"""The test that tells a bad version from the old one.

Bad answers of the new version are compared with those of the old one on the same route
at the same time, by Page's cumulative sum of log likelihood ratios: of a share of bad
answers that is greater by ``EFFECT`` of the rest, against the old version's share. If
the shares are known, a version that is as good as the old one is reverted at most once
in ``exp(BRAKE_SCORE)`` judged answers on average. If the old version hardly ever fails,
three to seven bad answers among few good ones revert the new one. The sum forgets good
answers, so a version that turns bad late is found as fast as one that is bad at once.
"""

from math import log

# Score at which a version is reverted: the old version reaches it by chance at most
# once in 100,000 answers.
BRAKE_SCORE = log(100_000.0)
# Maximum score at which a version may get all requests. A version as good as the old
# one exceeds it by chance at most once in 100 answers.
MOVE_SCORE_MAX = log(100.0)
# Share of the old version's good answers that are bad in a version that the test looks
# for.
EFFECT = 0.25
# Share of bad answers, and the number of answers that it counts as, before any of the
# old version are known.
PRIOR_SHARE = 0.05
PRIOR_N_ANSWERS = 10.0
# Limits of the old version's share of bad answers.
OLD_SHARE_MIN = 0.02
OLD_SHARE_MAX = 0.8
# Maximum number of the old version's answers that are counted. With more, earlier ones
# count less, so that the share is one of the same time.
N_OLD_MAX = 200.0
# Maximum number of routes that are judged one by one; the others are judged together.
N_ROUTES_MAX = 15
# Names of the evidence of all routes, and of those that are judged together.
ALL_ROUTES = "*"
OTHER_ROUTES = ""


class Evidence:
    """The answers of both versions on one route, and the score of the new version."""

    __slots__ = ("score", "n_new_good", "n_new_bad", "_n_old_good", "_n_old_bad")

    def __init__(self):
        self.score = 0.0
        self.n_new_good = 0
        self.n_new_bad = 0
        self._n_old_good = 0.0
        self._n_old_bad = 0.0

    def note_old(self, n_good, n_bad):
        """Count answers of the old version."""
        self._n_old_good += n_good
        self._n_old_bad += n_bad
        total = self._n_old_good + self._n_old_bad
        if total > N_OLD_MAX:
            self._n_old_good *= N_OLD_MAX / total
            self._n_old_bad *= N_OLD_MAX / total

    def note_new(self, n_good, n_bad):
        """Count answers of the new version, as if the good ones had come first."""
        self.n_new_good += n_good
        self.n_new_bad += n_bad
        old_share = self.old_share()
        bad_share = old_share + EFFECT * (1.0 - old_share)
        good_weight = log((1.0 - bad_share) / (1.0 - old_share))
        self.score = max(0.0, self.score + n_good * good_weight)
        self.score += n_bad * log(bad_share / old_share)

    def old_share(self):
        """Return the share of bad answers of the old version, within its limits."""
        total = self._n_old_good + self._n_old_bad + PRIOR_N_ANSWERS
        share = (self._n_old_bad + PRIOR_SHARE * PRIOR_N_ANSWERS) / total
        return min(OLD_SHARE_MAX, max(OLD_SHARE_MIN, share))


class VersionJudge:
    """Judges the new version of one roll-out, on each route and on all together."""

    __slots__ = ("by_route",)

    def __init__(self):
        self.by_route = {ALL_ROUTES: Evidence()}

    def route_name(self, route):
        """Return the name under which the answers of a route are counted."""
        if route in self.by_route:
            return route
        if len(self.by_route) <= N_ROUTES_MAX:
            return route
        return OTHER_ROUTES

    def note(self, counts):
        """Count the answers of a RouteCounts."""
        name = self.route_name(counts.route)
        for evidence in (
            self.by_route[ALL_ROUTES],
            self.by_route.setdefault(name, Evidence()),
        ):
            evidence.note_old(counts.n_old_good, counts.n_old_bad)
            evidence.note_new(counts.n_new_good, counts.n_new_bad)

    @property
    def is_bad(self):
        """Whether the new version must be reverted."""
        return self.worst()[1].score >= BRAKE_SCORE

    @property
    def may_move(self):
        """Whether the new version may get all requests.

        It may also without any answer, if there is too little traffic to judge it:
        ``is_bad`` still reverts it during the move.
        """
        return self.worst()[1].score <= MOVE_SCORE_MAX

    def worst(self):
        """Return the route with the highest score, and its Evidence."""
        return max(self.by_route.items(), key=lambda item: item[1].score)

    def describe(self):
        """Return the counts that decide, for the log."""
        route, evidence = self.worst()
        total = self.by_route[ALL_ROUTES]
        return (
            f"new_bad={total.n_new_bad} new_good={total.n_new_good}"
            f" route={route} route_bad={evidence.n_new_bad}"
            f" route_good={evidence.n_new_good}"
            f" old_bad_share={evidence.old_share():.3f} score={evidence.score:.1f}"
        )

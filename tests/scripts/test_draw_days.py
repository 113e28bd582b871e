"""Checks what scripts/draw-days writes; needs no bench."""
import hashlib
import pathlib
import subprocess
import sys
import tempfile
import tomllib
import unittest

TOOL = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "draw-days"

# What one option draws: the arguments, and the name of the files.
OPTIONS = [([], "planned"), (["--faults"], "faults")]

SAME = [
    # name, arguments of two draws, equal in the days that both hold
    ("the same seed", (1, 40), (1, 40), True),
    ("a seed of several words", (10**30, 3), (10**30, 3), True),
    ("more days of one seed", (1, 40), (1, 8), True),
    ("another seed", (1, 40), (2, 40), False),
    ("a seed that differs in one high bit", (5, 8), (5 + 2**40, 8), False),
]

PINNED = [
    # arguments, seed, days, start of the SHA-256 over all of them
    ([], 1, 40, "4107af77d1638819"),
    ([], 20261205, 8, "85035a4b7464972c"),
    (["--faults"], 1, 40, "fea741c14ca4ba26"),
    (["--faults"], 20261205, 8, "44cf2e606e5d4fcd"),
]

VALID_SEEDS = [0, 1, 2, 3, 5, 8, 13, 21, 1000003, 2**40, 10**30]

REFUSED = [
    ("no seed", ["--count", "1"]),
    ("no count", ["--seed", "1"]),
    ("no days", ["--seed", "1", "--count", "0"]),
    ("more days than numbers", ["--seed", "1", "--count", "1048576"]),
    ("a seed below 0", ["--seed", "-1", "--count", "1"]),
    ("a seed that is no number", ["--seed", "x", "--count", "1"]),
    ("faults, no seed", ["--faults", "--count", "1"]),
    ("faults, no days", ["--faults", "--seed", "1", "--count", "0"]),
    ("an unknown kind is left out",
     ["--faults", "--without", "srv_flop", "--seed", "1", "--count", "1"]),
    ("a kind of planned work is left out",
     ["--without", "srv_flap", "--seed", "1", "--count", "1"]),
]

# Kind and variant, then the range of each field; at comes with all of them.
SHARE, ONE = ("share", 0.5, 1.0), ("x", 1.0, 1.0)
ROLL = [SHARE, ONE, ("gap_s", 0.8, 4.0)]
PLAN = {
    ("roll_term", None): ROLL,
    ("roll_term", "leader"): ROLL,
    ("roll_term", "starter"): ROLL,
    ("roll_term", "busy"): ROLL,
    ("release", None): [("share", 0.3, 1.0), ONE, ("gap_s", 0.6, 1.7)],
    ("scale_in", None): [("share", 0.04, 0.12)],
    ("scale_in", "spot"): [("share", 0.04, 0.15), ("x", 1.5, 4.0)],
    ("config_change", "route"): [],
    ("config_change", "weights"): [],
    ("config_change", "timeout"): [],
    ("config_change", "tenant"): [],
    ("config_change", "quota"): [],
    ("config_change", "topup"): [],
    ("config_change", "idle"): [],
    ("config_storm", None): [("for_s", 2.0, 4.0), ("gap_s", 0.3, 0.6)],
    ("hup", None): [("share", 0.3, 1.0), ("gap_s", 0.5, 2.0)],
    ("add_nodes", None): [],
    ("replace_core", "planned"): [("x", 1.0, 2.0)],
}
FAULTS = {
    ("node_kill", "leader"): [("count", 1, 1), ("for_s", 0.5, 3.0)],
    ("node_freeze", "leader"): [("count", 1, 1), ("for_s", 1.0, 3.0)],
    ("srv_crash", None): [("share", 0.03, 0.1), ("for_s", 1.0, 3.0)],
    ("reset_conns", None): [("share", 0.1, 0.4), ("x", 0.3, 0.6)],
}
MOST_OF_A_KIND = {"roll_term": 6, "release": 3, "scale_in": 4,
                  "config_change": 3, "config_storm": 2, "hup": 3,
                  "add_nodes": 1, "replace_core": 2}
DAY_FIELDS = {"name", "slot", "seed", "length_s", "plan", "faults"}

# Days of faults.  The words that a variant may hold, by kind, and the range of
# each field; a field that is not there is left to the bench.
TARGETS = {"turn", "leader", "reader", "giver", "renewed", "follower", "seed"}
RETURNS = {"meet", "race", "hard", "drain"}
CUTS = {"reset", "refuse", "one_way", "drop", "revoke"}
FAULT_WORDS = {
    "applied_late": {"orders", "grants", "all", "cloud"},
    "srv_crash": {"across", "all"},
    "srv_flap": {"across", "all"},
    "srv_cut": {"fronts", "some", "one_way", "reset", "reborn", "across",
                "all"},
    "srv_grey": {"errors", "shed", "busy", "hang", "reset", "mute", "slow",
                 "across", "all"},
    "srv_slow": set(),
    "srv_lying_health": {"errors", "hang", "reset", "bad"},
    "scale_in": {"reclaim", "dry"},
    "scale_out": set(),
    "node_kill": TARGETS | RETURNS | {"power"},
    "node_freeze": TARGETS | RETURNS,
    "node_slow": TARGETS,
    "node_cut": TARGETS | RETURNS | CUTS | {"all", "servers", "reborn"},
    "core_cut": TARGETS | RETURNS | CUTS | {
        "all", "near", "one_way", "seeds", "both", "lure", "relieve",
        "behind", "split", "oldest"},
    "zone_cut": {"drop", "reset", "refuse", "one_way", "meet", "drain"},
    "roll_term": {"leader", "starter", "busy", "remove"},
    "replace_core": {"leader", "oldest"},
    "after_ack_kill": {"kill", "timed", "taken", "gone"},
    "herd_kill": {"power", "off", "taken", "all"},
    "platform_lost": {"late"},
    "platform_slow": set(),
    "platform_down": {"silent", "busy", "reset", "lapse", "log", "tables",
                      "nodes", "many", "leader", "revoke", "meet"},
    "platform_compact": {"keyed", "drain", "rebalance", "rewind"},
    "reset_conns": set(),
    "clock_step": {"back", "ahead"},
    "lossy": set(),
    "hup": set(),
    "shift": set(),
    "burst": set(),
    "hot_key": set(),
    "give_up": {"once", "prompt"},
    "poison": {"long"},
    "config_change": {"tenant", "quota", "down"},
    "cloud_down": {"silent", "busy", "reset"},
    "cloud_slow": set(),
}
FAULT_RANGES = {"share": (0.0, 1.0), "for_s": (0.2, 10.0),
                "gap_s": (0.3, 3.0), "count": (1, 1)}
X_RANGES = {"applied_late": (0.05, 0.9), "platform_lost": (0.1, 0.7),
            "clock_step": (1000.0, 4000.0), "lossy": (0.01, 0.04)}
X_RANGE = (0.2, 80.0)
CLOSINGS = {"kill_all": {None}, "wipe_after_ack": {None},
            "power_off_all": {None, "all", "taken", "timed", "oldest"}}
# A series holds one fault or more of each row.
GROUPS = [
    {"applied_late"},
    {"srv_crash", "srv_flap", "srv_cut", "srv_grey", "srv_slow",
     "srv_lying_health", "scale_in", "node_cut"},
    {"node_kill", "node_freeze", "node_slow", "node_cut", "core_cut",
     "roll_term", "replace_core", "after_ack_kill", "herd_kill"},
    {"platform_lost", "platform_slow", "platform_down", "platform_compact"},
]


def run_tool(arguments, folder):
    return subprocess.run([TOOL, *arguments, folder], capture_output=True)


def draw(seed, count, option=()):
    """Returns the bytes of the drawn days by their file names."""
    with tempfile.TemporaryDirectory() as folder:
        run_tool([*option, "--seed", str(seed), "--count", str(count)],
                 folder).check_returncode()
        return {path.name: path.read_bytes()
                for path in pathlib.Path(folder).iterdir()}


class DrawDays(unittest.TestCase):
    def test_same_seed_same_bytes(self):
        for option, _ in OPTIONS:
            for name, first, second, equal in SAME:
                with self.subTest(name, option=option):
                    texts = [list(draw(*arguments, option).items())
                             for arguments in (first, second)]
                    shared = min(first[1], second[1])
                    bodies = [{self.without_names(text) for _, text in days}
                              for days in texts]
                    self.assertEqual(len(bodies[0] & bodies[1]),
                                     shared if equal else 0)

    def without_names(self, text):
        lines = text.split(b"\n")
        self.assertTrue(lines[0].startswith(b"#"))
        self.assertTrue(lines[1].startswith(b"name"))
        return b"\n".join(lines[2:])

    def test_bytes_are_pinned(self):
        for option, seed, count, start in PINNED:
            with self.subTest(option=option, seed=seed):
                days = draw(seed, count, option)
                whole = b"".join(days[name] for name in sorted(days))
                self.assertEqual(hashlib.sha256(whole).hexdigest()[:16],
                                 start)

    def test_every_day_is_valid(self):
        for seed in VALID_SEEDS:
            days = draw(seed, 40)
            self.assertEqual(set(days), {f"planned-{seed}-{number}.toml"
                                         for number in range(1, 41)})
            for name, text in days.items():
                with self.subTest(name):
                    self.check_day(name, tomllib.loads(text.decode()))

    def check_day(self, name, day):
        self.assertEqual(set(day), DAY_FIELDS)
        self.assertEqual(day["name"] + ".toml", name)
        self.assertEqual((day["slot"], day["length_s"]), ("trouble", 60.0))
        self.assertIs(type(day["seed"]), int)
        self.assertTrue(1 <= day["seed"] <= 999999999)
        self.assertTrue(4 <= len(day["plan"]) <= 15)
        self.assertLessEqual(len(day["faults"]), 1)
        for entries, allowed in ((day["plan"], PLAN),
                                 (day["faults"], FAULTS)):
            for entry in entries:
                self.check_entry(entry, allowed, day["length_s"])
            times = [entry["at"] for entry in entries]
            self.assertEqual(times, sorted(times))
        self.check_overlap(day["plan"])

    def check_entry(self, entry, allowed, length_s):
        fields = allowed[entry["kind"], entry.get("how")]
        self.assertEqual(set(entry) - {"at", "kind", "how"},
                         {name for name, _, _ in fields})
        for name, least, most in fields:
            self.assertIs(type(entry[name]), type(least))
            self.assertTrue(least <= entry[name] <= most, entry)
        self.assertTrue(2.0 <= entry["at"] <= 36.0)
        self.assertLess(entry["at"] + entry.get("for_s", 0), length_s)

    def check_overlap(self, plan):
        kinds = [entry["kind"] for entry in plan]
        for kind in set(kinds):
            self.assertLessEqual(kinds.count(kind), MOST_OF_A_KIND[kind])
        restarts = [entry["at"] for entry in plan
                    if entry["kind"] == "roll_term"]
        workers = [entry["at"] for entry in plan
                   if entry["kind"] in ("release", "scale_in")]
        self.assertTrue(any(0 <= abs(a - b) <= 4
                            for a in restarts for b in workers))

    def test_every_day_of_faults_is_valid(self):
        for seed in VALID_SEEDS:
            days = draw(seed, 40, ["--faults"])
            self.assertEqual(set(days), {f"faults-{seed}-{number}.toml"
                                         for number in range(1, 41)})
            for name, text in days.items():
                with self.subTest(name):
                    self.check_day_of_faults(name,
                                             tomllib.loads(text.decode()))

    def check_day_of_faults(self, name, day):
        self.assertEqual(set(day) - {"closing"}, DAY_FIELDS)
        self.assertEqual(day["name"] + ".toml", name)
        self.assertEqual((day["slot"], day["length_s"]), ("trouble", 44.0))
        self.assertTrue(1 <= day["seed"] <= 999999999)
        self.assertTrue(1 <= len(day["plan"]) <= 5)
        for entry in day["plan"]:
            self.check_entry(entry, PLAN, day["length_s"])
        for entry in day["faults"]:
            self.check_fault(entry)
        for entries in (day["plan"], day["faults"]):
            times = [entry["at"] for entry in entries]
            self.assertEqual(times, sorted(times))
        self.check_series(day)
        if "closing" in day:
            closing = day["closing"]
            self.assertIn(closing.get("how"), CLOSINGS[closing["kind"]])
            self.assertTrue(0.5 <= closing["down_s"] <= 1.6)
            self.assertLessEqual(set(closing), {"kind", "down_s", "how"})

    def check_fault(self, entry):
        kind = entry["kind"]
        words = entry.get("how", "").split()
        self.assertLessEqual(set(words), FAULT_WORDS[kind], entry)
        self.assertEqual(len(words), len(set(words)), entry)
        self.assertTrue(2.0 <= entry["at"] <= 34.0)
        if "on" in entry:
            self.assertEqual(entry["on"], "core")
        for name in set(entry) - {"at", "kind", "how", "on"}:
            least, most = (X_RANGES.get(kind, X_RANGE) if name == "x"
                           else FAULT_RANGES[name])
            self.assertTrue(least <= entry[name] <= most, entry)

    def check_series(self, day):
        """Each fault has one of every group, and five in all, close to it."""
        for entry in day["faults"]:
            near = [other["kind"] for other in day["faults"]
                    if abs(other["at"] - entry["at"]) <= 4.0]
            self.assertGreaterEqual(len(near), 5)
            for group in GROUPS:
                self.assertTrue(group & set(near), entry)
        self.assertTrue(all(
            any(abs(work["at"] - entry["at"]) <= 4.0
                for entry in day["faults"]) for work in day["plan"]))

    def test_kinds_are_left_out(self):
        kinds = ["srv_flap", "srv_lying_health"]
        option = ["--faults"] + [word for kind in kinds
                                 for word in ("--without", kind)]
        whole, rest = draw(1, 40, ["--faults"]), draw(1, 40, option)
        self.assertEqual(set(whole), set(rest))
        for name, text in whole.items():
            kept = [line for line in text.decode().splitlines()[1:]
                    if not any(f'"{kind}"' in line for kind in kinds)]
            with self.subTest(name):
                self.assertEqual(kept, rest[name].decode().splitlines()[1:])

    def test_a_third_of_the_days_of_faults_is_closed(self):
        days = [tomllib.loads(text.decode())
                for text in draw(1, 300, ["--faults"]).values()]
        closed = [day["closing"] for day in days if "closing" in day]
        self.assertTrue(80 <= len(closed) <= 120, len(closed))
        self.assertEqual({(row["kind"], row.get("how")) for row in closed},
                         {(kind, how) for kind, hows in CLOSINGS.items()
                          for how in hows})

    def test_every_fault_is_drawn(self):
        drawn = {}
        for text in draw(1, 400, ["--faults"]).values():
            for entry in tomllib.loads(text.decode())["faults"]:
                drawn.setdefault(entry["kind"], set()).update(
                    entry.get("how", "").split())
        self.assertEqual(drawn, FAULT_WORDS)

    def test_every_kind_is_drawn(self):
        drawn = {part: set() for part in ("plan", "faults")}
        for text in draw(1, 200).values():
            day = tomllib.loads(text.decode())
            for part, entries in drawn.items():
                entries.update((entry["kind"], entry.get("how"))
                               for entry in day[part])
        for part, allowed in (("plan", PLAN), ("faults", FAULTS)):
            self.assertEqual(drawn[part], set(allowed))

    def test_bad_arguments_are_refused(self):
        for name, arguments in REFUSED:
            with self.subTest(name), tempfile.TemporaryDirectory() as folder:
                self.assertEqual(run_tool(arguments, folder).returncode, 2)
                self.assertEqual(list(pathlib.Path(folder).iterdir()), [])


if __name__ == "__main__":
    sys.exit(unittest.main())

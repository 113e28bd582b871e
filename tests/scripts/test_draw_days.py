"""Checks what scripts/draw-days writes; needs no bench."""
import hashlib
import pathlib
import subprocess
import sys
import tempfile
import tomllib
import unittest

TOOL = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "draw-days"

SAME = [
    # name, arguments of two draws, equal in the days that both hold
    ("the same seed", (1, 40), (1, 40), True),
    ("a seed of several words", (10**30, 3), (10**30, 3), True),
    ("more days of one seed", (1, 40), (1, 8), True),
    ("another seed", (1, 40), (2, 40), False),
    ("a seed that differs in one high bit", (5, 8), (5 + 2**40, 8), False),
]

PINNED = [
    # seed, days, start of the SHA-256 over all of them
    (1, 40, "4107af77d1638819"),
    (20261205, 8, "85035a4b7464972c"),
]

VALID_SEEDS = [0, 1, 2, 3, 5, 8, 13, 21, 1000003, 2**40, 10**30]

REFUSED = [
    ("no seed", ["--count", "1"]),
    ("no count", ["--seed", "1"]),
    ("no days", ["--seed", "1", "--count", "0"]),
    ("more days than numbers", ["--seed", "1", "--count", "1048576"]),
    ("a seed below 0", ["--seed", "-1", "--count", "1"]),
    ("a seed that is no number", ["--seed", "x", "--count", "1"]),
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


def run_tool(arguments, folder):
    return subprocess.run([TOOL, *arguments, folder], capture_output=True)


def draw(seed, count):
    """Returns the bytes of the drawn days by their file names."""
    with tempfile.TemporaryDirectory() as folder:
        run_tool(["--seed", str(seed), "--count", str(count)],
                 folder).check_returncode()
        return {path.name: path.read_bytes()
                for path in pathlib.Path(folder).iterdir()}


class DrawDays(unittest.TestCase):
    def test_same_seed_same_bytes(self):
        for name, first, second, equal in SAME:
            with self.subTest(name):
                texts = [list(draw(*arguments).items())
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
        for seed, count, start in PINNED:
            with self.subTest(seed=seed):
                days = draw(seed, count)
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

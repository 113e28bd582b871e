"""Checks scripts/play-days with a stand-in of the bench."""
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

TOOL = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "play-days"

# For each day the folder of the site holds the report and the status to end
# with.
STANDIN = """#!/usr/bin/env bash
site=$(dirname "$2")
echo "$*" >>"$SEEN"
[ "$1" = build ] && exit "${BUILD_STATUS:-0}"
while [ $# -gt 0 ]; do
    [ "$1" = --report ] && report=$2
    shift
done
say=$site/$(basename "$report" .json)
echo "output of the day"
[ -f "$say.report" ] && cp "$say.report" "$report"
exit "$(cat "$say.status" 2>/dev/null || echo 0)"
"""

# The report of a day, if any, and the status that the bench ends with.
WHOLE = ('{"G": 0.5, "breaks": {}, "fault": null}', 0)
LOST = ('{"G": 0.4375, "breaks": {"TWICE": 1, "LOST": 3}, "fault": null}', 0)
LOST_AND_STATUS = (LOST[0], 1)
WHOLE_AND_STATUS = (WHOLE[0], 3)
FAULT = ('{"G": 0.0, "breaks": {}, "fault": "does not start"}', 0)
NO_WORTH = ('{"G": null, "breaks": {}, "fault": null}', 0)
NO_RULES = ('{"G": 0.5, "fault": null}', 0)
NO_JSON = ("G", 0)
NO_REPORT = (None, 0)
STATUS_ALONE = (None, 3)

LOST_LINE = "worth 0.438, broken: LOST 3, TWICE 1"
LINES = {WHOLE: "worth 0.500", LOST: LOST_LINE, LOST_AND_STATUS: LOST_LINE}
NOT_PLAYED = "not played: output of the day"

OUTCOMES = [
    # name, the days, broken, not played
    ("whole days", [WHOLE, WHOLE], 0, 0),
    ("a broken day", [WHOLE, LOST, WHOLE], 1, 0),
    ("more than nine days", [LOST] * 11, 11, 0),
    ("a broken day with a status", [LOST_AND_STATUS], 1, 0),
    ("a whole day with a status", [WHOLE, WHOLE_AND_STATUS], 0, 1),
    ("a play that fails", [LOST, STATUS_ALONE], 1, 1),
    ("a system that does not start", [FAULT], 0, 1),
    ("no report", [NO_REPORT], 0, 1),
    ("a report that is no JSON", [NO_JSON], 0, 1),
    ("a report without a worth", [NO_WORTH], 0, 1),
    ("a report without rules", [NO_RULES], 0, 1),
]

OPTIONS = [[], ["--jobs", "3", "--logs", "logs"]]

REFUSED = [
    # name, arguments after the site, the variables, the status
    ("no bench", ["days", "--why", "x"], {}, 2),
    ("a bench that is not there",
     ["days", "--why", "x", "--bench", "/none/bench"], {}, 2),
    ("no reason", ["days", "--bench", "./bench"], {}, 2),
    ("no jobs", ["days", "--why", "x", "--bench", "./bench", "--jobs", "0"],
     {}, 2),
    ("no days", ["empty", "--why", "x", "--bench", "./bench"], {}, 1),
    ("a build that fails", ["days", "--why", "x", "--bench", "./bench"],
     {"BUILD_STATUS": "1"}, 1),
]


class Folder:
    """A site, its days, and the stand-in of the bench."""

    def __init__(self, path, days):
        self.path = pathlib.Path(path)
        for name in ("days", "empty", "logs"):
            (self.path / name).mkdir()
        (self.path / "bench").write_text(STANDIN)
        (self.path / "bench").chmod(0o755)
        for number, (report, status) in enumerate(days, 1):
            name = f"planned-1-{number}"
            (self.path / "days" / f"{name}.toml").write_text(
                f"seed = {100 + number}\n")
            (self.path / f"{name}.status").write_text(str(status))
            if report is not None:
                (self.path / f"{name}.report").write_text(report)

    def run_tool(self, arguments, variables):
        environment = {name: value for name, value in os.environ.items()
                       if name not in ("FLEETBENCH", "BUILD_STATUS")}
        environment |= {"SEEN": str(self.path / "seen")} | variables
        return subprocess.run(
            [TOOL, "site.toml", *arguments], cwd=self.path,
            capture_output=True, text=True, env=environment)


class PlayDays(unittest.TestCase):
    def test_outcomes(self):
        for name, days, broken, missing in OUTCOMES:
            for options in OPTIONS:
                with (self.subTest(name, options=options),
                      tempfile.TemporaryDirectory() as path):
                    folder = Folder(path, days)
                    ended = folder.run_tool(
                        ["days", "--why", "a trial", *options],
                        {"FLEETBENCH": "./bench"})
                    self.check_lines(ended, days, broken, missing)
                    logs = "--logs" in options
                    self.check_logs(folder, days, logs)
                    self.check_calls(folder, len(days), logs)

    def check_lines(self, ended, days, broken, missing):
        last = f"{len(days)} days, {broken} with broken rules"
        last += f", {missing} not played" if missing else ""
        self.assertEqual(ended.stdout.splitlines(), [
            f"planned-1-{number} seed {100 + number}: "
            + LINES.get(day, NOT_PLAYED)
            for number, day in enumerate(days, 1)] + [last])
        self.assertEqual(ended.returncode, 1 if broken or missing else 0)

    def check_logs(self, folder, days, logs):
        self.assertEqual(
            {path.name for path in (folder.path / "logs").iterdir()},
            {f"site-planned-1-{number}.log"
             for number, day in enumerate(days, 1) if logs and day != WHOLE})

    def check_calls(self, folder, days, logs):
        calls = (folder.path / "seen").read_text().splitlines()
        self.assertEqual(calls[0], "build")
        self.assertEqual(len(calls), days + 1)
        for number in range(1, days + 1):
            call = [call for call in calls
                    if f"/planned-1-{number}.toml " in call]
            self.assertEqual(len(call), 1)
            self.assertIn(f" --vary --seed {100 + number} ", call[0])
            self.assertIn(" --why a trial", call[0])
            self.assertEqual(" --log all" in call[0], logs)

    def test_bad_arguments_are_refused(self):
        for name, arguments, variables, status in REFUSED:
            with (self.subTest(name),
                  tempfile.TemporaryDirectory() as path):
                ended = Folder(path, [WHOLE]).run_tool(arguments, variables)
                self.assertEqual((ended.returncode, ended.stdout),
                                 (status, ""))


if __name__ == "__main__":
    sys.exit(unittest.main())

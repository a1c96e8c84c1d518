"""`wellhitch hooks`: tools for those who write hooks."""

import re
import sys
from pathlib import Path

import click
import msgspec

from wellhitch.cli.check import read_day
from wellhitch.cli.errors import exit_on_invalid_settings
from wellhitch.hooks.check import check as check_file
from wellhitch.hooks.emit import compile_file
from wellhitch.hooks.formatter import format_source
from wellhitch.hooks.grammar import MAX_SOURCE_CHARS, Parser
from wellhitch.hooks.host import (
    LOAD_BUDGET,
    MAX_MEMORY_CELLS,
    MAX_STEPS,
    Version,
    load_version,
    run_tests,
    to_value,
)
from wellhitch.hooks.points import POINTS, InvalidHookResult, parse_result
from wellhitch.hooks.tree import InvalidHooks
from wellhitch.hooks.values import Budget, HookError, to_text
from wellhitch.judge.page import service_page, verdict_page
from wellhitch.lab.hook_runs import (
    evaluate_arrivals,
    format_differences,
    format_result,
    format_run,
    hook_inputs,
)
from wellhitch.lab.play import play_virtual
from wellhitch.settings.checked import InvalidSettings
from wellhitch.store.files import read_file
from wellhitch.trunk import frames
from wellhitch.trunk.capture import BadCapture, Capture, read_folder

FOLDER = click.argument("folder", type=click.Path(path_type=Path))


@click.group()
def hooks() -> None:
    """Write, test and try hooks. A FOLDER holds files named *.hook; their order by name is their standing.

    \b
    wellhitch hooks check hooks/            what is wrong, with line, column and a hint
    wellhitch hooks test hooks/             the tests beside the hooks
    wellhitch hooks explain hooks/ --call '{"use_case": "card-lock"}'
    wellhitch hooks run hooks/ --day days/bad.jsonnet
    """


def texts_of(folder: Path) -> dict[str, str]:
    """All hook files of a folder. Raises InvalidSettings."""
    if not folder.is_dir():
        raise InvalidSettings(str(folder), ["no such folder"])
    files = sorted(folder.glob("*.hook"))
    if not files:
        raise InvalidSettings(str(folder), ["no files *.hook in it"])
    try:
        return {file.name: read_file(file, 4 * MAX_SOURCE_CHARS).decode() for file in files}
    except (OSError, UnicodeDecodeError) as fault:
        raise InvalidSettings(str(folder), [str(fault)]) from None


def loaded(folder: Path) -> Version:
    """A folder's version; what is wrong is told and ends the command with 1."""
    with exit_on_invalid_settings():
        texts = texts_of(folder)
    try:
        return load_version(texts, Parser())
    except InvalidHooks as bad:
        click.echo(str(bad), err=True)
        sys.exit(1)


@hooks.command()
@FOLDER
def check(folder: Path) -> None:
    """Tell what is wrong with the files of FOLDER, without running them.

    \b
    Example: wellhitch hooks check hooks/
    """
    with exit_on_invalid_settings():
        texts = texts_of(folder)
    parser, wrong = Parser(), 0
    for name, text in texts.items():
        try:
            faults = check_file(parser.parse(text, name))
        except InvalidHooks as bad:
            faults = bad.diagnostics
        wrong += len(faults)
        for fault in faults:
            click.echo(str(fault), err=True)
    if wrong:
        sys.exit(1)
    click.echo(f"{len(texts)} files, without faults")


@hooks.command()
@FOLDER
def test(folder: Path) -> None:
    """Run the tests that stand beside the hooks of FOLDER.

    \b
    Example: wellhitch hooks test hooks/
    """
    with exit_on_invalid_settings():
        texts = texts_of(folder)
    parser, passed, failed = Parser(), 0, 0
    for name, text in texts.items():
        try:
            file = parser.parse(text, name)
            wrong = check_file(file)
            if not wrong:
                wrong = run_tests(compile_file(file, Budget(LOAD_BUDGET, LOAD_BUDGET)))
                passed += len(file.tests) - len(wrong)
        except InvalidHooks as bad:
            wrong = bad.diagnostics
        except HookError as fault:
            click.echo(f"{name}:{fault.position[0]}:{fault.position[1]}: {fault.text}", err=True)
            failed += 1
            continue
        failed += len(wrong)
        for one in wrong:
            click.echo(str(one), err=True)
    click.echo(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


@hooks.command("format")
@FOLDER
@click.option(
    "--check", "only_check", is_flag=True, help="change nothing; exit code 1 where a file would change"
)
def format_files(folder: Path, only_check: bool) -> None:
    """Lay the files of FOLDER out: two spaces a block; comments stay.

    \b
    Example: wellhitch hooks format hooks/
    """
    with exit_on_invalid_settings():
        texts = texts_of(folder)
    changed = [name for name, text in texts.items() if format_source(text) != text]
    for name in changed:
        click.echo(f"{name}: {'would be ' if only_check else ''}laid out anew")
        if not only_check:
            (folder / name).write_text(format_source(texts[name]), encoding="utf-8")
    sys.exit(1 if changed and only_check else 0)


@hooks.command()
@FOLDER
@click.option(
    "--call", "call_json", default="{}", help="fields of the call, as JSON; what is left out is usual"
)
@click.option("--hour", type=click.IntRange(0, 23), default=12, show_default=True)
def explain(folder: Path, call_json: str, hour: int) -> None:
    """Tell what each hook of FOLDER says of one dialogue, and what it costs.

    \b
    Example: wellhitch hooks explain hooks/ --call '{"use_case": "card-lock"}'
    """
    version = loaded(folder)
    usual = {"id": 1, "use_case": "balance-check", "destination": 1, "called": "0800123", "left": 3_000_000}
    try:
        given = msgspec.json.decode(call_json.encode(), type=dict[str, object])
        known = set(frames.Call.__struct_fields__)
        if unknown := sorted(set(given) - known):
            raise msgspec.ValidationError(f"no field {unknown[0]!r}; known are {', '.join(sorted(known))}")
        fields = [{**usual, **given}.get(name, default) for name, default in _call_fields()]
        made = msgspec.convert(["Call", *fields], frames.Call)
    except msgspec.MsgspecError as fault:
        at = re.search(r"\$\[(\d+)\]", str(fault))
        name = f"{frames.Call.__struct_fields__[int(at[1]) - 1]}: " if at else ""
        click.echo(f"--call: {name}{str(fault).partition(' - at')[0]}", err=True)
        sys.exit(2)
    facts = hook_inputs(made, 0, hour * 3600 * 1_000_000)
    inputs = {name: to_value(facts[name], wanted) for name, wanted in POINTS["arrive"].inputs.items()}
    use_cases = frozenset({made.use_case, "balance-check", "card-lock", "loan-simulation"})
    for program in version.programs:
        if "arrive" not in program.hooks:
            continue
        budget = Budget(MAX_STEPS, MAX_MEMORY_CELLS)
        try:
            value = program.run("arrive", inputs, budget)
            said = format_result(parse_result("arrive", value, use_cases))
            click.echo(
                f"{program.file.name}: {said}  (returned {to_text(value, Budget())}; {MAX_STEPS - budget.steps} steps)"
            )
        except HookError as fault:
            click.echo(f"{program.file.name}:{fault.position[0]}:{fault.position[1]}: fails: {fault.text}")
        except InvalidHookResult as bad:
            click.echo(f"{program.file.name}: its answer is not taken: {bad}")


def _call_fields() -> list[tuple[str, object]]:
    """Fields of a Call with what they are where nothing is given."""
    return [
        (one.name, None if one.default is msgspec.NODEFAULT else one.default)
        for one in msgspec.structs.fields(frames.Call)
    ]


@hooks.command("run")
@FOLDER
@click.option("--capture", type=click.Path(path_type=Path), help="a folder that `day play --capture` wrote")
@click.option(
    "--day",
    "day_file",
    type=click.Path(path_type=Path),
    help="a day to play in virtual time, with and without",
)
def run_hooks(folder: Path, capture: Path | None, day_file: Path | None) -> None:
    """Play a captured day's arrivals through the hooks of FOLDER, or a whole day with them and without.

    \b
    Example: wellhitch hooks run hooks/ --day days/bad.jsonnet
    """
    if (capture is None) == (day_file is None):
        raise click.UsageError("either --capture or --day")
    version = loaded(folder)
    if capture is not None:
        click.echo(format_run(evaluate_arrivals(version, _captures(capture))))
        return
    assert day_file is not None
    with exit_on_invalid_settings():
        made = read_day(day_file)
        texts = texts_of(folder)
    without = play_virtual(msgspec.structs.replace(made, hooks={}))
    within = play_virtual(msgspec.structs.replace(made, hooks=texts))
    click.echo(format_run(evaluate_arrivals(version, without.captures)))
    click.echo("\nwithout hooks: " + service_page(without.service))
    click.echo("\nwith hooks: " + service_page(within.service))
    click.echo(verdict_page(within.verdict))
    sys.exit(1 if within.verdict.breaks else 0)


@hooks.command()
@FOLDER
@click.argument("other", type=click.Path(path_type=Path))
@click.option("--capture", type=click.Path(path_type=Path), required=True, help="a folder of captures")
def shadow(folder: Path, other: Path, capture: Path) -> None:
    """Tell how the hooks of OTHER differ from those of FOLDER on a captured day's arrivals.

    \b
    Example: wellhitch hooks shadow hooks/ new-hooks/ --capture /tmp/bad-day
    """
    captures = _captures(capture)
    click.echo(
        format_differences(
            evaluate_arrivals(loaded(folder), captures), evaluate_arrivals(loaded(other), captures)
        )
    )


def _captures(folder: Path) -> list[Capture]:
    try:
        return read_folder(folder)
    except BadCapture as fault:
        click.echo(f"cannot be read: {fault}", err=True)
        sys.exit(2)

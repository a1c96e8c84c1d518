"""`wellhitch hooks`: tools for authors of hooks."""

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
    """Check, test and run hooks. FOLDER contains files named *.hook, which run in the order of their names.

    \b
    wellhitch hooks check hooks/            list the errors, with line, column and a hint
    wellhitch hooks test hooks/             run the tests in the hook files
    wellhitch hooks explain hooks/ --call '{"use_case": "card-lock"}'
    wellhitch hooks run hooks/ --day days/bad.jsonnet
    """


def read_hook_files(folder: Path) -> dict[str, str]:
    """Return the texts of all hook files in a folder by name. Raises InvalidSettings."""
    if not folder.is_dir():
        raise InvalidSettings(str(folder), ["no such folder"])
    files = sorted(folder.glob("*.hook"))
    if not files:
        raise InvalidSettings(str(folder), ["contains no files named *.hook"])
    try:
        return {file.name: read_file(file, 4 * MAX_SOURCE_CHARS).decode() for file in files}
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSettings(str(folder), [str(error)]) from None


def load_hooks(folder: Path) -> Version:
    """Load the hooks of a folder. Prints any errors and exits with 1."""
    with exit_on_invalid_settings():
        texts = read_hook_files(folder)
    try:
        return load_version(texts, Parser())
    except InvalidHooks as error:
        click.echo(str(error), err=True)
        sys.exit(1)


@hooks.command()
@FOLDER
def check(folder: Path) -> None:
    """List the errors in the files of FOLDER, without running them.

    \b
    Example: wellhitch hooks check hooks/
    """
    with exit_on_invalid_settings():
        texts = read_hook_files(folder)
    parser, error_count = Parser(), 0
    for name, text in texts.items():
        try:
            diagnostics = check_file(parser.parse(text, name))
        except InvalidHooks as error:
            diagnostics = error.diagnostics
        error_count += len(diagnostics)
        for diagnostic in diagnostics:
            click.echo(str(diagnostic), err=True)
    if error_count:
        sys.exit(1)
    click.echo(f"{len(texts)} files, without errors")


@hooks.command()
@FOLDER
def test(folder: Path) -> None:
    """Run the tests in the hook files of FOLDER.

    \b
    Example: wellhitch hooks test hooks/
    """
    with exit_on_invalid_settings():
        texts = read_hook_files(folder)
    parser, passed, failed = Parser(), 0, 0
    for name, text in texts.items():
        try:
            file = parser.parse(text, name)
            diagnostics = check_file(file)
            if not diagnostics:
                diagnostics = run_tests(compile_file(file, Budget(LOAD_BUDGET, LOAD_BUDGET)))
                passed += len(file.tests) - len(diagnostics)
        except InvalidHooks as error:
            diagnostics = error.diagnostics
        except HookError as error:
            click.echo(f"{name}:{error.position[0]}:{error.position[1]}: {error.text}", err=True)
            failed += 1
            continue
        failed += len(diagnostics)
        for diagnostic in diagnostics:
            click.echo(str(diagnostic), err=True)
    click.echo(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


@hooks.command("format")
@FOLDER
@click.option("--check", "only_check", is_flag=True, help="change no file; exit with 1 if one would change")
def format_files(folder: Path, only_check: bool) -> None:
    """Format the files of FOLDER with two spaces per block. Comments are kept.

    \b
    Example: wellhitch hooks format hooks/
    """
    with exit_on_invalid_settings():
        texts = read_hook_files(folder)
    changed = [name for name, text in texts.items() if format_source(text) != text]
    for name in changed:
        click.echo(f"{name}: {'would be ' if only_check else ''}reformatted")
        if not only_check:
            (folder / name).write_text(format_source(texts[name]), encoding="utf-8")
    sys.exit(1 if changed and only_check else 0)


@hooks.command()
@FOLDER
@click.option(
    "--call", "call_json", default="{}", help="fields of the call, as JSON; others get usual values"
)
@click.option("--hour", type=click.IntRange(0, 23), default=12, show_default=True)
def explain(folder: Path, call_json: str, hour: int) -> None:
    """Show the result of each hook of FOLDER for one dialogue, and its cost in steps.

    \b
    Example: wellhitch hooks explain hooks/ --call '{"use_case": "card-lock"}'
    """
    version = load_hooks(folder)
    defaults = {
        "id": 1,
        "use_case": "balance-check",
        "destination": 1,
        "called": "0800123",
        "left": 3_000_000,
    }
    try:
        given = msgspec.json.decode(call_json.encode(), type=dict[str, object])
        known = set(frames.Call.__struct_fields__)
        if unknown := sorted(set(given) - known):
            raise msgspec.ValidationError(f"no field {unknown[0]!r}; known are {', '.join(sorted(known))}")
        fields = [{**defaults, **given}.get(name, default) for name, default in _call_fields()]
        call = msgspec.convert(["Call", *fields], frames.Call)
    except msgspec.MsgspecError as error:
        position = re.search(r"\$\[(\d+)\]", str(error))
        name = f"{frames.Call.__struct_fields__[int(position[1]) - 1]}: " if position else ""
        click.echo(f"--call: {name}{str(error).partition(' - at')[0]}", err=True)
        sys.exit(2)
    facts = hook_inputs(call, 0, hour * 3600 * 1_000_000)
    inputs = {name: to_value(facts[name], wanted) for name, wanted in POINTS["arrive"].inputs.items()}
    use_cases = frozenset({call.use_case, "balance-check", "card-lock", "loan-simulation"})
    for program in version.programs:
        if "arrive" not in program.hooks:
            continue
        budget = Budget(MAX_STEPS, MAX_MEMORY_CELLS)
        try:
            value = program.run("arrive", inputs, budget)
            result = format_result(parse_result("arrive", value, use_cases))
            click.echo(
                f"{program.file.name}: {result}  "
                f"(returned {to_text(value, Budget())}; {MAX_STEPS - budget.steps} steps)"
            )
        except HookError as error:
            click.echo(f"{program.file.name}:{error.position[0]}:{error.position[1]}: fails: {error.text}")
        except InvalidHookResult as error:
            click.echo(f"{program.file.name}: invalid result: {error}")


def _call_fields() -> list[tuple[str, object]]:
    """Return the fields of a Call with their defaults, None where there is no default."""
    return [
        (field.name, None if field.default is msgspec.NODEFAULT else field.default)
        for field in msgspec.structs.fields(frames.Call)
    ]


@hooks.command("run")
@FOLDER
@click.option("--capture", type=click.Path(path_type=Path), help="a folder written by `day play --capture`")
@click.option(
    "--day",
    "day_file",
    type=click.Path(path_type=Path),
    help="a day to play in virtual time, with the hooks and without",
)
def run_hooks(folder: Path, capture: Path | None, day_file: Path | None) -> None:
    """Run the hooks of FOLDER on the arrivals of a captured day, or play a day with them and without.

    \b
    Example: wellhitch hooks run hooks/ --day days/bad.jsonnet
    """
    if (capture is None) == (day_file is None):
        raise click.UsageError("give either --capture or --day")
    version = load_hooks(folder)
    if capture is not None:
        click.echo(format_run(evaluate_arrivals(version, _captures(capture))))
        return
    assert day_file is not None
    with exit_on_invalid_settings():
        day = read_day(day_file)
        texts = read_hook_files(folder)
    without_hooks = play_virtual(msgspec.structs.replace(day, hooks={}))
    with_hooks = play_virtual(msgspec.structs.replace(day, hooks=texts))
    click.echo(format_run(evaluate_arrivals(version, without_hooks.captures)))
    click.echo("\nwithout hooks: " + service_page(without_hooks.service))
    click.echo("\nwith hooks: " + service_page(with_hooks.service))
    click.echo(verdict_page(with_hooks.verdict))
    sys.exit(1 if with_hooks.verdict.violations else 0)


@hooks.command()
@FOLDER
@click.argument("other", type=click.Path(path_type=Path))
@click.option("--capture", type=click.Path(path_type=Path), required=True, help="a folder of captures")
def shadow(folder: Path, other: Path, capture: Path) -> None:
    """Show how the results of the hooks of OTHER and FOLDER differ on the arrivals of a captured day.

    \b
    Example: wellhitch hooks shadow hooks/ new-hooks/ --capture /tmp/bad-day
    """
    captures = _captures(capture)
    click.echo(
        format_differences(
            evaluate_arrivals(load_hooks(folder), captures), evaluate_arrivals(load_hooks(other), captures)
        )
    )


def _captures(folder: Path) -> list[Capture]:
    try:
        return read_folder(folder)
    except BadCapture as error:
        click.echo(f"cannot be read: {error}", err=True)
        sys.exit(2)

"""Command line of ``cranberryhold``."""

import argparse
import asyncio
import json
import os
import sys
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, replace
from importlib.metadata import PackageNotFoundError, version

from cranberryhold.exceptions import CranberryholdError, SettingsError
from cranberryhold.exit_codes import EXIT_CODES_HELP, ExitCode, exit_code
from cranberryhold.logs import log_event, setup_logs
from cranberryhold.manifest.commands import (
    APPLY_OPTIONS,
    CHECK_OPTIONS,
    SHOW_OPTIONS,
    STATUS_OPTIONS,
    apply,
    schema,
    show,
    status,
)
from cranberryhold.options import (
    VARIABLE_PREFIX,
    Option,
    add_options,
    as_boolean,
    read_options,
)
from cranberryhold.settings import (
    ENTRY_OPTIONS,
    KEYS,
    SIDECAR_OPTIONS,
    as_file,
    as_fixed_address,
    as_seconds,
    entry_settings,
    sidecar_settings,
)

OptionValues = Mapping[str, object]
CommandFunction = Callable[[OptionValues], Awaitable[int]]

DUMP_OPTIONS = (
    Option(
        "address",
        "the control address (IPv4:port) of the member; with --flow-daemon, its peer "
        "address",
        as_fixed_address,
        required=True,
        metavar="ADDRESS",
    ),
    Option(
        "flow-daemon",
        "the member is a flow daemon; needs no keys",
        as_boolean,
        default="0",
    ),
    replace(KEYS, required=False),
    Option(
        "timeout",
        "seconds to wait for the answer",
        as_seconds,
        default="5",
        metavar="SECONDS",
    ),
)
CALL_OPTIONS = (
    Option(
        "deadline",
        "seconds for all attempts together; default: 10 s",
        as_seconds,
        metavar="SECONDS",
    ),
    Option(
        "ca-file",
        "the PEM file with the certificate authorities to trust; default: the system's",
        as_file,
        metavar="FILE",
    ),
    Option("insecure", "accept any certificate", as_boolean, default="0"),
)

EXPLAIN_OPTIONS = (
    Option(
        "context",
        "seconds before and after the flow for which other events of its instances "
        "are shown",
        as_seconds,
        default="3",
        metavar="SECONDS",
    ),
)


@dataclass(frozen=True, slots=True)
class Command:
    """A command of the command line.

    :param name: words of the command, separated by a space.
    :param help: what the command does.
    :param run: runs the command with the values of its options and arguments;
        returns the exit code.
    :param options: options that can also be set by environment variables.
    :param arguments: adds further arguments to the command's parser.
    """

    name: str
    help: str
    run: CommandFunction
    options: tuple[Option, ...] = ()
    arguments: Callable[[argparse.ArgumentParser], None] = lambda parser: None


async def _run_entry(values: OptionValues) -> int:
    from cranberryhold.daemon import run_entry

    return await run_entry(entry_settings(values)) or ExitCode.DONE


async def _run_sidecar(values: OptionValues) -> int:
    from cranberryhold.daemon import run_sidecar

    return await run_sidecar(sidecar_settings(values)) or ExitCode.DONE


async def _run_check(values: OptionValues) -> int:
    from cranberryhold.manifest.check_command import check

    return await check(values)


async def _run_dump(values: OptionValues) -> int:
    from cranberryhold.dump import request_dump, request_flow_state

    address, timeout_s = values["address"], values["timeout"]
    if values["flow_daemon"]:
        state = await request_flow_state(address, timeout_s)
    elif values["keys"] is None:
        raise SettingsError(
            f"{KEYS.flag} is not set: give it or set {KEYS.variable}, or give "
            "--flow-daemon for a daemon without keys",
            step="read settings",
        )
    else:
        state = await request_dump(values["keys"], address, timeout_s)
    print(json.dumps(state, indent=2))
    return ExitCode.DONE


async def _run_call(values: OptionValues) -> int:
    from cranberryhold.call import run_call

    arguments = dict(values)
    deadline_s = arguments.pop("deadline")
    return await run_call(argparse.Namespace(deadline_s=deadline_s, **arguments))


async def _run_explain(values: OptionValues) -> int:
    from cranberryhold.explain import explain, read_logs

    lines = explain(read_logs(values["logs"]), values["flow"], values["context"])
    for line in lines:
        print(line)
    if not lines:
        print(f"no line names the flow {values['flow']}", file=sys.stderr)
        return ExitCode.FAILED
    return ExitCode.DONE


def _add_explain_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "flow", help="flow as shown in logs, or the address and port of its caller"
    )
    parser.add_argument("logs", nargs="+", help="log files of the processes")


async def _run_version(values: OptionValues) -> int:
    try:
        print(version("cranberryhold"))
    except PackageNotFoundError:
        print("unknown: not installed as a package")
    return ExitCode.DONE


def _add_file_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", help="manifest in YAML; - reads standard input")


def _add_call_arguments(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    add("url", help="https://host:port/path")
    add("--method", help="HTTP method (default POST with a body, GET without)")
    add("--data", metavar="TEXT", help="text to send as the body")
    add(
        "--upload",
        metavar="FILE",
        help="file to send as the body, with a progress bar",
    )
    add(
        "--header",
        dest="headers",
        action="append",
        default=[],
        metavar="'NAME: VALUE'",
        help="additional header; may be given several times",
    )
    add(
        "--idempotency-key",
        metavar="KEY",
        help="key of the item to submit; use the same one for every attempt",
    )
    add(
        "--at-most-once",
        action="store_true",
        help="get an idempotency key first if none is given, and show it",
    )
    add("--output", metavar="FILE", help="file to write the response body to")
    add("--follow", action="store_true", help="print the lines of a feed")


COMMANDS = (
    Command("entry", "run an entry instance", _run_entry, ENTRY_OPTIONS),
    Command("sidecar", "run the sidecar of an upstream", _run_sidecar, SIDECAR_OPTIONS),
    Command(
        "manifest check",
        "check a manifest, and compare it with the one in force",
        _run_check,
        CHECK_OPTIONS,
        _add_file_argument,
    ),
    Command(
        "manifest apply",
        "put a manifest into effect, or change nothing",
        apply,
        APPLY_OPTIONS,
        _add_file_argument,
    ),
    Command("manifest show", "print the accepted manifest", show, SHOW_OPTIONS),
    Command(
        "manifest status",
        "show the generation in effect at each member",
        status,
        STATUS_OPTIONS,
    ),
    Command("manifest schema", "print the JSON Schema of a manifest", schema),
    Command("dump", "print the state of a member as JSON", _run_dump, DUMP_OPTIONS),
    Command("call", "send one request", _run_call, CALL_OPTIONS, _add_call_arguments),
    Command(
        "explain",
        "explain what happened to a flow, from the logs of the instances",
        _run_explain,
        EXPLAIN_OPTIONS,
        _add_explain_arguments,
    ),
    Command("version", "print the version", _run_version),
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="cranberryhold",
        description="Layer-4 load balancer for QUIC services.",
        epilog=EXIT_CODES_HELP,
        allow_abbrev=False,
    )
    groups = {"": parser.add_subparsers(required=True, metavar="COMMAND")}
    for command in COMMANDS:
        group, _, subcommand = command.name.rpartition(" ")
        if group not in groups:
            group_parser = groups[""].add_parser(
                group,
                help=f"check, apply and inspect the {group}",
                epilog=EXIT_CODES_HELP,
            )
            groups[group] = group_parser.add_subparsers(
                required=True, metavar="COMMAND"
            )
        subparser = groups[group].add_parser(
            subcommand,
            help=command.help,
            description=f"{command.help[0].upper()}{command.help[1:]}.",
            epilog="A flag takes precedence over its environment variable. "
            f"{EXIT_CODES_HELP}",
            allow_abbrev=False,
        )
        add_options(subparser, command.options)
        command.arguments(subparser)
        subparser.set_defaults(command=command)
    return parser


async def execute(arguments: list[str], environment: Mapping[str, str]) -> int:
    """Run one command and return its exit code.

    :raises SystemExit: after ``--help`` or arguments that can't be parsed.
    """
    parsed = vars(build_parser().parse_args(arguments))
    command: Command = parsed.pop("command")
    try:
        values = parsed | read_options(parsed, environment, command.options)
        setup_logs(values.get("log_level", "WARNING"))
        _warn_about_unknown_variables(environment)
        return int(await command.run(values))
    except CranberryholdError as error:
        print(f"cranberryhold {command.name}: {error}", file=sys.stderr)
        return exit_code(error)


def _warn_about_unknown_variables(environment: Mapping[str, str]) -> None:
    """Log variables with the prefix that no option reads, which are likely misspelt."""
    known = {option.variable for command in COMMANDS for option in command.options}
    for name in sorted(environment):
        if name.startswith(VARIABLE_PREFIX) and name not in known:
            log_event("unknown-variable", level="WARNING", name=name)


def main() -> None:
    """Run the command line and exit with its exit code."""
    try:
        code = asyncio.run(execute(sys.argv[1:], os.environ))
    except KeyboardInterrupt:
        code = ExitCode.FAILED
    except BrokenPipeError:
        # The reader of the output has closed the pipe; without the redirection, Python
        # would fail again when it flushes the output on exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.FAILED
    sys.exit(code)

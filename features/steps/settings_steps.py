"""Steps that check which settings files the daemon accepts."""

import pathlib
import subprocess
import sys
import tempfile
import tomllib

import behave
from nutmegshelf import exceptions
from nutmegshelf_entry import reference, settings


def _load(text):
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        return settings.load(pathlib.Path(file.name))


def _list_fields(table, path=""):
    for name, value in table.items():
        if isinstance(value, dict):
            yield from _list_fields(value, f"{path}{name}.")
        else:
            yield path + name


@behave.given("the example settings")
def read_settings(context):
    context.settings = pathlib.Path("examples/entry.toml").read_text()
    _load(context.settings)


@behave.when('"{old}" is changed into "{new}" there')
@behave.when('"{old}" is changed into "" there')
def change_settings(context, old, new=""):
    assert old in context.settings
    context.settings = context.settings.replace(old, new.replace("\\n", "\n"), 1)


@behave.when('operators listen at "{host}" with the token "{token}"')
@behave.when('operators listen at "{host}" with the token ""')
def listen_at(context, host, token=""):
    section = f'[operators]\nhost = "{host}"\nport = 8081\ntoken = "{token}"\n'
    before, _, after = context.settings.partition("[operators]")
    context.settings = before + section + "\n[peers]" + after.partition("[peers]")[2]


@behave.then('the daemon\'s settings are refused for exactly "{fields}"')
def check_refused(context, fields):
    faulty = []
    try:
        _load(context.settings)
    except exceptions.DeclarationError as error:
        faulty = sorted(fault.field for fault in error.errors)
    expected = [] if fields == "nothing" else [fields] if "(" in fields else fields.split()
    assert faulty == expected, faulty


@behave.then('the daemon ends with {code:d} and names "{first}" and "{second}"')
def check_exit_code(context, code, first, second):
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(context.settings)
        file.flush()
        command = [sys.executable, "-m", "nutmegshelf_entry", "--settings", file.name]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    lines = completed.stderr.splitlines()
    assert completed.returncode == code, completed
    assert [line.split(": ")[1] for line in lines] == [first, second], lines


@behave.then("the example sets every field, and none of its lines is redundant")
def check_no_redundant_line(context):
    expected = {path for path, *_ in reference.iterate_fields(settings.Settings)}
    lines = context.settings.splitlines()
    assert set(_list_fields(tomllib.loads(context.settings))) == expected
    for index, line in enumerate(lines):
        if not line:
            continue
        without = "\n".join(lines[:index] + lines[index + 1 :])
        try:
            remaining = set(_list_fields(tomllib.loads(without)))
        except tomllib.TOMLDecodeError:
            continue
        assert remaining != expected, f"line {index + 1} is redundant: {line}"


@behave.then("the reference describes each setting")
def check_described(context):
    missing = [
        path
        for path, *_, description in reference.iterate_fields(settings.Settings)
        if not description
    ]
    assert not missing, missing


@behave.then('"{page}" is up to date with the code')
def check_page(context, page):
    assert pathlib.Path(page).read_text() == reference.render(), "run `make reference`"

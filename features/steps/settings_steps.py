"""Check settings files against what the daemon takes."""

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


def _fields(table, path=""):
    for name, value in table.items():
        if isinstance(value, dict):
            yield from _fields(value, f"{path}{name}.")
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
    part = f'[operators]\nhost = "{host}"\nport = 8081\ntoken = "{token}"\n'
    before, _, rest = context.settings.partition("[operators]")
    context.settings = before + part + "\n[peers]" + rest.partition("[peers]")[2]


@behave.then('the daemon\'s settings are refused for exactly "{fields}"')
def refused_for(context, fields):
    found = []
    try:
        _load(context.settings)
    except exceptions.DeclarationError as error:
        found = sorted(fault.field for fault in error.errors)
    wanted = [] if fields == "nothing" else [fields] if "(" in fields else fields.split()
    assert found == wanted, found


@behave.then('the daemon ends with {code:d} and names "{one}" and "{other}"')
def daemon_ends(context, code, one, other):
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(context.settings)
        file.flush()
        command = [sys.executable, "-m", "nutmegshelf_entry", "--settings", file.name]
        ended = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    lines = ended.stderr.splitlines()
    assert ended.returncode == code, ended
    assert [line.split(": ")[1] for line in lines] == [one, other], lines


@behave.then("every field of the settings is set there, and each line is needed for that")
def every_line(context):
    wanted = {place for place, *_ in reference.iterate_fields(settings.Settings)}
    lines = context.settings.splitlines()
    assert set(_fields(tomllib.loads(context.settings))) == wanted
    for at, line in enumerate(lines):
        if not line:
            continue
        without = "\n".join(lines[:at] + lines[at + 1 :])
        try:
            left = set(_fields(tomllib.loads(without)))
        except tomllib.TOMLDecodeError:
            continue
        assert left != wanted, f"line {at + 1} is not needed: {line}"


@behave.then("each setting has a meaning in the reference")
def has_meaning(context):
    missing = [
        place for place, *_, words in reference.iterate_fields(settings.Settings) if not words
    ]
    assert not missing, missing


@behave.then('"{page}" is what the code makes')
def up_to_date(context, page):
    assert pathlib.Path(page).read_text() == reference.render(), "run `make reference`"

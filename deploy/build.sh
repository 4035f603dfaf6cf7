#!/bin/sh
# Put the pinned libraries and the compiled sources under target/.
set -eu
mkdir -p target
if [ ! -e target/deps/.done ] || [ deploy/requirements.txt -nt target/deps/.done ] \
    || [ constraints.txt -nt target/deps/.done ]; then
    python3 -m pip install -q --upgrade --target target/deps \
        -r deploy/requirements.txt -c constraints.txt
    touch target/deps/.done
fi
rm -rf target/app
mkdir -p target/app
cp -r packages/nutmegshelf/src/nutmegshelf packages/nutmegshelf-http/src/nutmegshelf_http \
    packages/nutmegshelf-entry/src/nutmegshelf_entry platform/nutmegshelf_platform target/app/
printf '%s\n' '"""Start an entry."""' 'import nutmegshelf_platform.__main__  # noqa: F401' \
    > target/app/serve.py
python3 -m compileall -q target/app target/deps

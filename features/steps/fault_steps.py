"""Run cells of the fault matrix."""

import behave

from features.faults import cells, generator, matrix


@behave.when('"{fault}" strikes at the step "{step}"')
def strike(context, fault, step):
    context.broken = cells.run(matrix.Cell(step, fault), context.seed)


@behave.then("every promise is kept")
def check_promises(context):
    assert not context.broken, "; ".join(context.broken)


@behave.then("the matrix's feature is as its tables say")
def check_feature(context):
    assert generator.FEATURE_FILE.read_text() == generator.render_feature(), "run make faults"

"""Steps that run cells of the fault matrix."""

import behave

from features.faults import cells, generator, matrix


@behave.when('"{fault}" strikes at the step "{step}"')
def run_cell(context, fault, step):
    context.violations = cells.run(matrix.Cell(step, fault), context.seed)


@behave.then("every guarantee holds")
def check_guarantees(context):
    assert not context.violations, "; ".join(context.violations)


@behave.then("the feature file of the matrix matches its tables")
def check_feature(context):
    assert (
        generator.FEATURE_FILE.read_text() == generator.render_feature()
    ), "features/fault_matrix.feature is outdated; run make faults"

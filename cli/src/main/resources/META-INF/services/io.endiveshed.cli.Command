io.endiveshed.cli.internal.EntryCommand
io.endiveshed.cli.internal.ApplyCommand
io.endiveshed.cli.internal.CheckCommand
io.endiveshed.cli.internal.StatusCommand

io.endiveshed.local.LocalCommand

//! Entry daemon.

fn main() -> anyhow::Result<()> {
    pw_entry::daemon::run_daemon(&argh::from_env())
}

//! Stand-ins for the platform's services.

fn main() -> anyhow::Result<()> {
    pw_standin::daemon::run_standin(argh::from_env())
}

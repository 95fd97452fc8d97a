//! Invalid settings are rejected at start with a message that names the setting.

use std::process::Command;

use test_case::test_case;

fn standin(args: &[&str], env: &[(&str, &str)]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_marjoram-standin"))
        .args(args)
        .envs(env.iter().copied())
        .output()
        .expect("binary runs");
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test_case(&["engine"], &[], "setting --listen is required" ; "missing listen")]
#[test_case(&["engine", "--listen", "x", "--capacity", "many"], &[], "--capacity" ; "bad number")]
#[test_case(&["load", "--routers", "a", "--rate", "0"], &[], "--rate must be above zero" ; "zero rate")]
#[test_case(&["load", "--routers", "a"], &[("MARJORAM_SITE", "atlantis")], "MARJORAM_SITE" ; "bad env")]
#[test_case(&["fly"], &[], "unknown command \"fly\"" ; "unknown command")]
fn error_names_the_invalid_setting(args: &[&str], env: &[(&str, &str)], expected: &str) {
    let (code, stderr) = standin(args, env);
    assert_eq!(code, 2, "{stderr}");
    assert!(stderr.contains(expected), "{stderr}");
}

#[test]
fn help_lists_every_command() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_marjoram-standin")).arg("--help").output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    for command in ["demo", "engine", "log", "hosts", "service", "load"] {
        assert!(text.contains(command), "{text}");
    }
}

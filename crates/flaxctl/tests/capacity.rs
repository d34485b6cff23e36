//! `flaxctl capacity` and its page agree.

use std::process::Command;

#[test]
fn the_page_shows_what_the_command_prints() {
    let output = Command::new(env!("CARGO_BIN_EXE_flaxctl"))
        .args(["capacity", "--markdown"])
        .output();
    let table = String::from_utf8(output.unwrap().stdout).unwrap();
    let page = include_str!("../../../docs/CAPACITY.md");
    for line in table.lines() {
        assert!(page.contains(line), "docs/CAPACITY.md lacks: {line}");
    }
}

#[test]
fn a_wrong_file_is_named_with_its_line() {
    let file =
        std::env::temp_dir().join(format!("flaxtide-sizes-{}", std::process::id()));
    std::fs::write(&file, "instances: 10\nnodes: 3\n").unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_flaxctl"))
        .args(["capacity", "--sizes"])
        .arg(&file)
        .output()
        .unwrap();
    let _ = std::fs::remove_file(&file);
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(message.contains("line 2") && message.contains("nodes"), "{message}");
}

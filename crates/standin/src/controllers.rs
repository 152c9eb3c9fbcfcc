//! Processes of the real program: controllers, and one that keeps snapshots.

use crate::error::StandinError;
use std::fs::File;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

/// The operators' policy, in the controllers' folder.
pub(crate) const POLICY_FILE: &str = "policy";

/// The name of a controller; its settings and log are called after it.
pub(crate) fn controller_name(number: usize) -> String {
    format!("controller-{number}")
}

/// Controllers of the real program.
pub(crate) struct Controllers {
    program: PathBuf,
    dir: PathBuf,
    children: Mutex<Vec<Option<Child>>>,
    snapshotter: Mutex<Option<Child>>,
}

impl Controllers {
    /// None of them is started yet.
    pub(crate) fn new(program: &Path, dir: &Path, count: usize) -> Controllers {
        Controllers {
            program: program.to_path_buf(),
            dir: dir.to_path_buf(),
            children: Mutex::new((0..count).map(|_| None).collect()),
            snapshotter: Mutex::default(),
        }
    }

    fn path_in_dir(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    /// Starts a controller, whose settings must be in the folder.
    pub(crate) fn start(&self, number: usize) -> Result<(), StandinError> {
        let name = controller_name(number);
        let (policy, config) = (
            self.path_in_dir(POLICY_FILE),
            self.path_in_dir(&format!("{name}.json")),
        );
        let args = ["serve", "--policy", &policy, "--config", &config];
        let child = self.spawn(&format!("{name}.log"), &args)?;
        self.children.lock().expect("no panic holds it")[number] = Some(child);
        Ok(())
    }

    /// The program with these arguments, its log added to a file.
    fn spawn(&self, log: &str, args: &[&str]) -> Result<Child, StandinError> {
        let log = self.dir.join(log);
        let open = File::options().create(true).append(true).open(&log);
        let log = open.map_err(StandinError::at(&log))?;
        Command::new(&self.program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(StandinError::at(&self.program))
    }

    /// Starts a process that keeps snapshots of the state service.
    pub(crate) fn start_snapshotter(&self) -> Result<(), StandinError> {
        let (config, dir) = (
            self.path_in_dir("controller-0.json"),
            self.path_in_dir("archive"),
        );
        let args = ["archive", "--config", &config, "--dir", &dir];
        let child = self.spawn("archivist.log", &args)?;
        *self.snapshotter.lock().expect("no panic holds it") = Some(child);
        Ok(())
    }

    /// Offers the newest snapshot to a controller; returns whether it was accepted.
    pub(crate) fn restore(&self, node: SocketAddrV4) -> Result<bool, StandinError> {
        let (dir, node) = (self.path_in_dir("archive"), node.to_string());
        let args = ["snapshot", "restore", "--dir", &dir, "--node", &node];
        let status = self.spawn("restore.log", &args)?.wait()?;
        Ok(status.success())
    }

    /// Process ids of the controllers that are there.
    pub(crate) fn pids(&self) -> Vec<Option<u32>> {
        let children = self.children.lock().expect("no panic holds it");
        let ids = children.iter().map(|child| child.as_ref().map(Child::id));
        ids.collect()
    }

    /// Ends a controller without warning.
    pub(crate) fn kill(&self, number: usize) {
        if let Some(mut child) = self.children.lock().expect("no panic")[number].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Controllers that ended by themselves.
    pub(crate) fn exited(&self) -> Vec<usize> {
        let mut children = self.children.lock().expect("no panic holds it");
        let has_exited = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
        let children = children.iter_mut().enumerate();
        children
            .filter_map(|(number, child)| child.as_mut().map(|child| (number, child)))
            .filter_map(|(number, child)| has_exited(child).then_some(number))
            .collect()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        let count = self.children.lock().map_or(0, |c| c.len());
        (0..count).for_each(|n| self.kill(n));
        let snapshotter = self.snapshotter.lock().ok().and_then(|mut a| a.take());
        if let Some(mut child) = snapshotter {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

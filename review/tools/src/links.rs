//! Connections between controllers by way of a proxy, which can reset and refuse those of one controller.

use crate::Hooks;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

#[derive(Default)]
pub struct Links {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Controller whose connections with the others are cut.
    cut: Option<usize>,
    /// Open connections, each with the numbers of its controllers.
    open: Vec<(usize, usize, TcpStream, TcpStream)>,
}

impl Links {
    pub fn new() -> Arc<Links> {
        Arc::default()
    }

    /// Returns the hooks by which controllers reach each other through these links.
    pub fn hooks(self: &Arc<Links>) -> Hooks {
        let links = self.clone();
        Hooks {
            state: None,
            peer: Some(Box::new(move |from, to, target| {
                links.listen(from, to, target)
            })),
        }
    }

    fn listen(self: &Arc<Links>, from: usize, to: usize, target: SocketAddrV4) -> SocketAddrV4 {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let Ok(SocketAddr::V4(addr)) = listener.local_addr() else {
            unreachable!("bound to IPv4");
        };
        let links = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                links.accept(from, to, stream, target);
            }
        });
        addr
    }

    fn accept(&self, from: usize, to: usize, stream: TcpStream, target: SocketAddrV4) {
        let Ok(onward) = TcpStream::connect(target) else {
            return;
        };
        let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
        let mut state = self.state.lock().unwrap();
        if state.cut.is_some_and(|n| n == from || n == to) {
            return;
        }
        let clone = |s: &TcpStream| s.try_clone().expect("a socket");
        pipe(clone(&stream), clone(&onward));
        pipe(clone(&onward), clone(&stream));
        state.open.push((from, to, stream, onward));
    }

    /// Resets the connections between a controller and the others, and refuses new ones.
    pub fn cut(&self, n: usize) {
        let mut state = self.state.lock().unwrap();
        state.cut = Some(n);
        for (from, to, stream, onward) in &state.open {
            if *from == n || *to == n {
                let _ = (
                    stream.shutdown(Shutdown::Both),
                    onward.shutdown(Shutdown::Both),
                );
            }
        }
        state.open.retain(|(from, to, _, _)| *from != n && *to != n);
    }

    pub fn mend(&self) {
        self.state.lock().unwrap().cut = None;
    }
}

fn pipe(mut from: TcpStream, mut to: TcpStream) {
    std::thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        while let Ok(length) = from.read(&mut buffer)
            && length > 0
            && to.write_all(&buffer[..length]).is_ok()
        {}
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    });
}

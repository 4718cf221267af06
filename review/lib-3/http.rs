//! A small HTTP/1.1 server (one thread a connection) and client.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| &value[..])
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| &value[..])
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub enum Reply {
    /// Status, content type and body.
    Answer(u16, &'static str, Vec<u8>),
    /// The connection ends without an answer.
    Drop,
}

impl Reply {
    pub fn json(status: u16, body: &crate::json::Json) -> Self {
        Reply::Answer(status, "application/json", body.to_string().into_bytes())
    }

    pub fn status(status: u16) -> Self {
        Reply::Answer(status, "application/json", b"{}".to_vec())
    }
}

pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// A server that can be switched off: its port is then closed and its connections are reset.
pub struct Server {
    pub address: SocketAddr,
    on: Arc<AtomicBool>,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let on = Arc::new(AtomicBool::new(true));
        let open = Arc::new(Mutex::new(HashMap::new()));
        let server = Server { address, on: Arc::clone(&on), open: Arc::clone(&open) };
        thread::spawn(move || accept(listener, address, &on, &open, &handler));
        Ok(server)
    }

    /// Closes the port and all connections, as when the process is killed.
    pub fn off(&self) {
        self.on.store(false, Ordering::SeqCst);
        for (_, stream) in self.open.lock().unwrap().drain() {
            _ = stream.shutdown(Shutdown::Both);
        }
    }

}

fn accept(
    listener: TcpListener,
    address: SocketAddr,
    on: &Arc<AtomicBool>,
    open: &Arc<Mutex<HashMap<u64, TcpStream>>>,
    handler: &Handler,
) {
    let mut listener = Some(listener);
    let mut number = 0;
    loop {
        if !on.load(Ordering::SeqCst) {
            listener = None;
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        let Some(current) = &listener else {
            listener = TcpListener::bind(address).ok();
            thread::sleep(Duration::from_millis(5));
            continue;
        };
        _ = current.set_nonblocking(true);
        match current.accept() {
            Ok((stream, _)) => {
                _ = stream.set_nonblocking(false);
                _ = stream.set_nodelay(true);
                number += 1;
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().insert(number, copy);
                }
                let (open, handler) = (Arc::clone(open), Arc::clone(handler));
                thread::spawn(move || {
                    serve(stream, &handler);
                    open.lock().unwrap().remove(&number);
                });
            }
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(&request) {
            Reply::Answer(status, kind, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend(body);
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            Reply::Drop => {
                _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1)?.to_owned();
    let headers = read_headers(reader)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (decode(key), decode(value))).collect();
    let body = read_body(reader, &headers)?;
    Some(Request { path: path.to_owned(), query, headers, body })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let find = |name: &str| headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    if find("transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend(&chunk[..size]);
        }
    }
    let length: usize = find("content-length").and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request on a new connection; `None` without a complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    _ = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str("Content-Type: application/json\r\n");
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

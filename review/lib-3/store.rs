//! The platform's metadata store, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::{Json, obj};

/// Partitions of a topic.
pub const PARTS: u32 = 24;
/// Time of an answer: 4 ms.
const ANSWER: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Part {
    records: Vec<Vec<u8>>,
    epoch: u64,
    last: Option<u64>,
    remembered: VecDeque<(u64, u64, u64)>,
}

struct Member {
    renewed: Instant,
    ttl: Duration,
    joined: u64,
    topics: Vec<String>,
}

#[derive(Default)]
struct State {
    parts: HashMap<(String, u32), Part>,
    generation: u64,
    members: BTreeMap<String, Member>,
    owners: BTreeMap<(String, u32), String>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Writes a record with a key, as the operator and the workers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = [&[key.len() as u8], key.as_bytes(), value.as_bytes()].concat();
        let mut state = self.lock();
        state.parts.entry((topic.to_owned(), 0)).or_default().records.push(record);
        self.changed.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.lock();
        let items = newest(state.parts.get(&(topic.to_owned(), 0))?);
        let value = items.into_iter().find(|(k, _, _)| k == key)?.1;
        Some(String::from_utf8_lossy(&value).into_owned())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        if request.path != "/log-read" {
            thread::sleep(ANSWER / 2);
        }
        let reply = match request.path.as_str() {
            "/log-append" => self.append(request),
            "/log-read" => self.read(request),
            "/log-newest" => self.list(request),
            "/log-join" => self.join(request),
            "/log-leave" => self.leave(request),
            "/log-owners" => self.owners(),
            _ => Reply::status(404),
        };
        thread::sleep(ANSWER / 2);
        reply
    }

    fn append(&self, request: &Request) -> Reply {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        if topic == "keyed.op" || topic == "keyed.servers" {
            return Reply::status(403);
        }
        let Some(records) = split(&request.body) else {
            return Reply::status(400);
        };
        let mut state = self.lock();
        let key = (topic, request.number("part").unwrap_or(0) as u32);
        let part = state.parts.entry(key).or_default();
        let end = part.records.len() as u64;
        if request.number("timestamp").is_some_and(|expected| expected != end) {
            return Reply::json(412, &obj([("endOffset", end.into())]));
        }
        let new_end = end + records.len() as u64;
        if let (Some(epoch), Some(seq)) = (request.number("epoch"), request.number("seq")) {
            if epoch < part.epoch {
                return Reply::json(409, &obj([("reason", "fenced".into())]));
            }
            if epoch > part.epoch {
                part.epoch = epoch;
                part.last = None;
                part.remembered.clear();
            }
            if let Some((_, offset, end)) = part.remembered.iter().find(|(known, _, _)| *known == seq) {
                let body = obj([("offset", (*offset).into()), ("endOffset", (*end).into())]);
                return Reply::json(200, &body);
            }
            if !records.is_empty() {
                if let Some(last) = part.last.filter(|last| last + 1 != seq) {
                    let body = obj([("reason", "seq".into()), ("seq", (last + 1).into())]);
                    return Reply::json(409, &body);
                }
                part.last = Some(seq);
                part.remembered.push_back((seq, end, new_end));
                if part.remembered.len() > 5 {
                    part.remembered.pop_front();
                }
            }
        }
        part.records.extend(records);
        self.changed.notify_all();
        Reply::json(200, &obj([("offset", end.into()), ("endOffset", new_end.into())]))
    }

    fn read(&self, request: &Request) -> Reply {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let key = (topic, request.number("part").unwrap_or(0) as u32);
        let from = request.number("from").unwrap_or(0) as usize;
        let limit = request.number("maxKb").unwrap_or(1024) as usize * 1024;
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let part = state.parts.entry(key.clone()).or_default();
            let now = Instant::now();
            if part.records.len() > from || now >= until {
                let mut body = Vec::new();
                body.extend((part.records.len() as u64).to_be_bytes());
                body.extend(0u64.to_be_bytes());
                for record in part.records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > limit {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Reply::Answer(200, "application/octet-stream", body);
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn list(&self, request: &Request) -> Reply {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let key = (topic, request.number("part").unwrap_or(0) as u32);
        let after = request.query("dependsOn").unwrap_or_default();
        let mut state = self.lock();
        let part = state.parts.entry(key).or_default();
        let items: Vec<_> = newest(part).into_iter().filter(|(key, _, _)| &key[..] > after).collect();
        let has_more = items.len() > 500;
        let rows = items.into_iter().take(500).map(|(key, value, offset)| {
            obj([("key", key.into()), ("value", base64(&value).into()), ("offset", offset.into())])
        });
        let body = obj([
            ("items", Json::Arr(rows.collect())),
            ("hasMore", Json::Bool(has_more)),
            ("endOffset", (part.records.len() as u64).into()),
        ]);
        Reply::json(200, &body)
    }

    fn join(&self, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.text()) else {
            return Reply::status(400);
        };
        let name = body.get("member").text().unwrap_or_default().to_owned();
        let topics = body.get("topics").items().iter().filter_map(Json::text).map(str::to_owned);
        let ttl = body.get("ttlMs").int().unwrap_or(1500);
        let member = Member {
            renewed: Instant::now(),
            ttl: Duration::from_millis(ttl),
            joined: body.get("generation").int().unwrap_or(0),
            topics: topics.collect(),
        };
        let mut state = self.lock();
        let is_new = state.members.insert(name.clone(), member).is_none();
        state.rebalance(is_new);
        let own = state.owners.iter().filter(|(_, owner)| **owner == name);
        let own = own.map(|((topic, part), _)| {
            Json::Arr(vec![topic.clone().into(), u64::from(*part).into(), 0.into()])
        });
        let answer = obj([
            ("parts", Json::Arr(own.collect())),
            ("generation", state.generation.into()),
            ("ttlMs", ttl.into()),
        ]);
        Reply::json(200, &answer)
    }

    fn leave(&self, request: &Request) -> Reply {
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let mut state = self.lock();
        let left = state.members.remove(body.get("member").text().unwrap_or_default()).is_some();
        state.rebalance(left);
        Reply::status(200)
    }

    fn owners(&self) -> Reply {
        let mut state = self.lock();
        state.rebalance(false);
        let rows = state.owners.iter().map(|((topic, part), owner)| {
            Json::Arr(vec![topic.clone().into(), u64::from(*part).into(), owner.clone().into(), 0.into()])
        });
        let body = obj([("parts", Json::Arr(rows.collect()))]);
        Reply::json(200, &body)
    }
}

impl State {
    /// Removes the members that have sent nothing for their time, and distributes the partitions
    /// evenly. A live member keeps a partition until it has joined with the generation that takes
    /// the partition away.
    fn rebalance(&mut self, changed: bool) {
        let before = self.members.len();
        self.members.retain(|_, member| member.renewed.elapsed() < member.ttl);
        if changed || before != self.members.len() {
            self.generation += 1;
        }
        let names: Vec<String> = self.members.keys().cloned().collect();
        if names.is_empty() {
            self.owners.clear();
            return;
        }
        let topics: std::collections::BTreeSet<String> =
            self.members.values().flat_map(|member| member.topics.clone()).collect();
        let parts = topics.into_iter().flat_map(|topic| (0..PARTS).map(move |part| (topic.clone(), part)));
        for (number, key) in parts.enumerate() {
            let next = &names[number % names.len()];
            let owner = self.owners.get(&key).and_then(|owner| self.members.get(owner));
            let free = owner.is_none_or(|member| member.joined >= self.generation);
            if free {
                self.owners.insert(key, next.clone());
            }
        }
    }
}

/// Returns the newest value of each key with its offset, in the order of the keys.
fn newest(part: &Part) -> Vec<(String, Vec<u8>, u64)> {
    let mut items = BTreeMap::new();
    for (offset, record) in part.records.iter().enumerate() {
        let Some((length, rest)) = record.split_first() else { continue };
        let (key, value) = rest.split_at((*length as usize).min(rest.len()));
        let key = String::from_utf8_lossy(key).into_owned();
        if value.is_empty() {
            items.remove(&key);
        } else {
            items.insert(key, (value.to_vec(), offset as u64));
        }
    }
    items.into_iter().map(|(key, (value, offset))| (key, value, offset)).collect()
}

fn split(mut bytes: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let (length, rest) = bytes.split_first_chunk::<4>()?;
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        records.push(record.to_vec());
        bytes = rest;
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            if place > chunk.len() {
                out.push('=');
            } else {
                out.push(ALPHABET[(bits >> (18 - 6 * place)) as usize & 63] as char);
            }
        }
    }
    out
}

//! The messages between the instances, which may be lost, late or doubled.

use std::time::Duration;

use chiverelay_decisions::limits::LoanGrant;
use chiverelay_decisions::limits::LoanReturn;
use chiverelay_decisions::names::Instance;

use super::Flaw;
use super::Fleet;
use super::Message;
use super::Post;

impl Fleet {
    pub(super) fn ask(&mut self, from: usize, missing: u128) {
        for to in 0..self.len() {
            if to != from {
                self.ask_one(from, to, missing);
            }
        }
    }

    pub(super) fn ask_one(&mut self, from: usize, to: usize, missing: u128) {
        let now = self.clock(from);
        let name = self.nodes[to].name.clone();
        let node = &mut self.nodes[from];
        let ask = node.book.request_loan(&self.account, &name, missing, now);
        node.asked.insert(ask.id, now);
        let message = Message::Ask(ask);
        self.posts.push(Post { from, to, message });
    }

    /// Loses the messages on their way.
    pub fn lose_all(&mut self) {
        self.posts.clear();
    }

    /// Delivers the messages on their way, in their order, until there are none.
    pub fn deliver_all(&mut self) {
        while !self.posts.is_empty() {
            let post = self.posts.remove(0);
            if self.runs(post.to) && self.is_connected(post.from, post.to) {
                self.receive(post);
            }
        }
    }

    /// Delivers one of the messages on their way, and keeps it if `again`.
    pub fn deliver(&mut self, n: usize, again: bool, lose: bool) {
        if self.posts.is_empty() {
            return;
        }
        let n = n % self.posts.len();
        let post = if again {
            self.posts[n].clone()
        } else {
            self.posts.swap_remove(n)
        };
        if lose || !self.runs(post.to) || !self.is_connected(post.from, post.to) {
            return;
        }
        self.receive(post);
    }

    fn receive(&mut self, post: Post) {
        let Post { from, to, message } = post;
        let now = self.clock(to);
        let sender = self.nodes[from].name.clone();
        match message {
            Message::Ask(ask) => {
                let Some(lend) = self.nodes[to].book.lend(&sender, &ask, now) else {
                    return;
                };
                if self.flaw == Flaw::GiverKeeps {
                    let back = LoanReturn {
                        id: lend.id,
                        account: lend.account.clone(),
                        tokens: lend.tokens,
                    };
                    self.nodes[to].book.take_back_loan(&back, now);
                }
                let message = Message::Lend(lend);
                self.posts.push(Post {
                    from: to,
                    to: from,
                    message,
                });
            }
            Message::Lend(lend) => self.accept(to, &sender, lend, now),
            Message::Return(back) => {
                self.nodes[to].book.take_back_loan(&back, now);
            }
        }
    }

    fn accept(&mut self, to: usize, sender: &Instance, mut lend: LoanGrant, now: Duration) {
        let node = &mut self.nodes[to];
        let sent = node.asked.get(&lend.id).copied().unwrap_or(now);
        if self.flaw == Flaw::CountsFromArrival {
            lend.valid_for += now.saturating_sub(sent);
        }
        if node.book.accept_loan(&lend, now) || self.flaw != Flaw::AppliesTwice {
            return;
        }
        lend.id = node.book.request_loan(&self.account, sender, 0, now).id;
        node.book.accept_loan(&lend, now);
    }
}

//! Frames: a header, followed by a body. The header contains the length of the body and its kind, which
//! determines the layout of the body. Numbers are little-endian.

use std::io::{self, Read, Write};
use zerocopy::byteorder::little_endian::{U16, U32};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

const MAGIC: u32 = 0x6275_726c;
const VERSION: u8 = 1;
/// Maximum size of a body, in bytes. Larger than any submission that the public interface accepts, and
/// than any message that one controller sends another.
const MAX_BODY_BYTES: usize = 640 * 1024;

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct FrameHeader {
    magic: U32,
    version: u8,
    kind: u8,
    reserved: U16,
    body_length: U32,
}

/// Reads one frame; returns its kind and its body.
///
/// # Errors
/// Those of the stream, and `InvalidData` for a malformed header; the caller then has to close the
/// connection.
pub fn read_frame(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut header = [0u8; size_of::<FrameHeader>()];
    stream.read_exact(&mut header)?;
    let header = FrameHeader::ref_from_bytes(&header)
        .ok()
        .filter(|h| h.magic.get() == MAGIC && h.version == VERSION)
        .filter(|h| h.body_length.get() as usize <= MAX_BODY_BYTES)
        .ok_or(io::ErrorKind::InvalidData)?;
    let mut body = vec![0; header.body_length.get() as usize];
    stream.read_exact(&mut body)?;
    Ok((header.kind, body))
}

/// Writes one encoded frame, which includes its header.
///
/// # Errors
/// Those of the stream.
pub fn write_frame(stream: &mut impl Write, frame: &[u8]) -> io::Result<()> {
    stream.write_all(frame)
}

/// Encodes a frame of this kind with this body.
pub(super) fn encode_frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let header = FrameHeader {
        magic: U32::new(MAGIC),
        version: VERSION,
        kind,
        reserved: U16::new(0),
        body_length: length(body.len()),
    };
    let mut frame = header.as_bytes().to_vec();
    frame.extend_from_slice(body);
    frame
}

/// Converts the length of a list or a text to its form in a frame.
pub(super) fn length(length: usize) -> U32 {
    U32::new(length as u32)
}

/// Writer for the body of a frame.
#[derive(Default)]
pub(super) struct FrameWriter {
    body: Vec<u8>,
}

impl FrameWriter {
    /// Writes a part of fixed size.
    pub fn fixed(&mut self, part: &(impl IntoBytes + Immutable)) {
        self.bytes(part.as_bytes());
    }

    /// Writes bytes whose length the reader knows.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.body.extend_from_slice(bytes);
    }

    /// Writes a name, preceded by its length. Names are far shorter than the length field allows; a
    /// longer text is truncated, and then matches no known name.
    pub fn text(&mut self, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.fixed(&U16::new(bytes.len() as u16));
        self.bytes(bytes);
    }

    /// Writes a text that may be longer than a name, preceded by its length.
    pub fn long_text(&mut self, text: &str) {
        self.fixed(&length(text.len()));
        self.bytes(text.as_bytes());
    }

    /// Returns a frame of this kind with the body that was written.
    pub fn finish(self, kind: u8) -> Vec<u8> {
        encode_frame(kind, &self.body)
    }
}

/// Reader for the body of a frame. Each read returns `None` if the body is too short or malformed.
pub(super) struct FrameReader<'a> {
    rest: &'a [u8],
}

impl<'a> FrameReader<'a> {
    pub fn new(body: &'a [u8]) -> FrameReader<'a> {
        FrameReader { rest: body }
    }

    /// Reads a part of fixed size.
    pub fn fixed<T>(&mut self) -> Option<&'a T>
    where
        T: FromBytes + KnownLayout + Immutable + Unaligned,
    {
        let (part, rest) = T::ref_from_prefix(self.rest).ok()?;
        self.rest = rest;
        Some(part)
    }

    /// Reads a text of this many bytes.
    pub fn text_of(&mut self, length: U32) -> Option<&'a str> {
        self.utf8(length.get() as usize)
    }

    /// Reads a name, preceded by its length.
    pub fn text(&mut self) -> Option<&'a str> {
        let length = self.fixed::<U16>()?.get();
        self.utf8(usize::from(length))
    }

    /// Reads a text that may be longer than a name, preceded by its length.
    pub fn long_text(&mut self) -> Option<&'a str> {
        let length = self.fixed::<U32>()?;
        self.text_of(*length)
    }

    fn utf8(&mut self, length: usize) -> Option<&'a str> {
        let (text, rest) = self.rest.split_at_checked(length)?;
        self.rest = rest;
        std::str::from_utf8(text).ok()
    }

    /// Reads a list of `length` items. No memory is reserved in advance, as the length comes from the
    /// network and may be wrong.
    pub fn list<T>(
        &mut self,
        length: U32,
        item: impl Fn(&mut FrameReader<'a>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let mut items = Vec::new();
        for _ in 0..length.get() {
            items.push(item(self)?);
        }
        Some(items)
    }

    /// Returns the message that was read, if the body has no trailing bytes.
    pub fn finish<T>(self, message: T) -> Option<T> {
        self.rest.is_empty().then_some(message)
    }
}

/// Returns the byte that encodes a value of an enum: its index among all values.
pub(super) fn index_of<T: PartialEq>(values: &[T], value: &T) -> u8 {
    values
        .iter()
        .position(|v| v == value)
        .unwrap_or(values.len()) as u8
}

/// Returns the value of an enum that a byte encodes.
pub(super) fn value_at<T: Copy>(values: &[T], index: u8) -> Option<T> {
    values.get(usize::from(index)).copied()
}

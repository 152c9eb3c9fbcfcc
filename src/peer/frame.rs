//! Frames: a header, then a body of the length that the header states and of the layout that its
//! kind implies. Numbers are little-endian.

use std::io::{self, Read, Write};
use zerocopy::byteorder::little_endian::{U16, U32};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

const MAGIC: u32 = 0x6275_726c;
const VERSION: u8 = 1;
/// Bytes of a body, at most. Larger than any submission that the public interface accepts, and than
/// what one controller tells another at a time.
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

/// Reads one frame: its kind and its body.
///
/// # Errors
/// Those of the stream, and `InvalidData` for a malformed header, upon which the connection is to
/// be dropped.
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

/// Writes one frame, header included.
///
/// # Errors
/// Those of the stream.
pub fn write_frame(stream: &mut impl Write, frame: &[u8]) -> io::Result<()> {
    stream.write_all(frame)
}

/// The frame of this kind with this body.
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

/// The length of a list or a text, as it stands in a frame.
pub(super) fn length(length: usize) -> U32 {
    U32::new(length as u32)
}

/// Writes the body of a frame.
#[derive(Default)]
pub(super) struct FrameWriter {
    body: Vec<u8>,
}

impl FrameWriter {
    /// A part of fixed size.
    pub fn fixed(&mut self, part: &(impl IntoBytes + Immutable)) {
        self.bytes(part.as_bytes());
    }

    /// Bytes whose length the reader knows.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.body.extend_from_slice(bytes);
    }

    /// A name with its length before it. Names are far shorter than the length allows; a longer
    /// text is cut, and is then unknown.
    pub fn text(&mut self, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.fixed(&U16::new(bytes.len() as u16));
        self.bytes(bytes);
    }

    /// A text that may be longer than a name, with its length before it.
    pub fn long_text(&mut self, text: &str) {
        self.fixed(&length(text.len()));
        self.bytes(text.as_bytes());
    }

    /// The frame of this kind with what was written.
    pub fn finish(self, kind: u8) -> Vec<u8> {
        encode_frame(kind, &self.body)
    }
}

/// Reads the body of a frame. Each read is `None` if the body ends before, or is malformed.
pub(super) struct FrameReader<'a> {
    rest: &'a [u8],
}

impl<'a> FrameReader<'a> {
    pub fn new(body: &'a [u8]) -> FrameReader<'a> {
        FrameReader { rest: body }
    }

    /// A part of fixed size.
    pub fn fixed<T>(&mut self) -> Option<&'a T>
    where
        T: FromBytes + KnownLayout + Immutable + Unaligned,
    {
        let (part, rest) = T::ref_from_prefix(self.rest).ok()?;
        self.rest = rest;
        Some(part)
    }

    /// A text of this many bytes.
    pub fn text_of(&mut self, length: U32) -> Option<&'a str> {
        self.utf8(length.get() as usize)
    }

    /// A name with its length before it.
    pub fn text(&mut self) -> Option<&'a str> {
        let length = self.fixed::<U16>()?.get();
        self.utf8(usize::from(length))
    }

    /// A text that may be longer than a name, with its length before it.
    pub fn long_text(&mut self) -> Option<&'a str> {
        let length = self.fixed::<U32>()?;
        self.text_of(*length)
    }

    fn utf8(&mut self, length: usize) -> Option<&'a str> {
        let (text, rest) = self.rest.split_at_checked(length)?;
        self.rest = rest;
        std::str::from_utf8(text).ok()
    }

    /// A list of as many items as stated. No memory is reserved for items before they are there, as
    /// what is stated may be wrong.
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

    /// The message that was read, if nothing follows it.
    pub fn finish<T>(self, message: T) -> Option<T> {
        self.rest.is_empty().then_some(message)
    }
}

/// The byte that stands for a value of an enum: its index among all values.
pub(super) fn index_of<T: PartialEq>(values: &[T], value: &T) -> u8 {
    values
        .iter()
        .position(|v| v == value)
        .unwrap_or(values.len()) as u8
}

/// The value of an enum that a byte stands for.
pub(super) fn value_at<T: Copy>(values: &[T], index: u8) -> Option<T> {
    values.get(usize::from(index)).copied()
}

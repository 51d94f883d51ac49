// Package logpos orders positions in a log whose offsets may be assigned again after its storage was
// restored from a copy.
package logpos

// offsetBits is the number of bits of an offset. A log with 1,000 records a second reaches them after
// 34 years. Eras up to 8191 leave a position exact in JSON decoders that use doubles.
const offsetBits = 40

// MaxEra is the highest era that a Position can hold.
const MaxEra = 1<<(63-offsetBits) - 1

// Position is an offset in a log, with the era of the log in its high bits: a position of a later era is
// higher than all positions of earlier ones. In era 0 it equals the offset.
type Position int64

// At returns the position of an offset in an era. Both must not be negative.
func At(era, offset int64) Position {
	return Position(era<<offsetBits | offset)
}

// Era returns the era of a position.
func (p Position) Era() int64 { return int64(p) >> offsetBits }

// Offset returns the offset of a position in the log of its era.
func (p Position) Offset() int64 { return int64(p) & (1<<offsetBits - 1) }

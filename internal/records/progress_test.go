package records

import "testing"

func TestBitmapSurvivesEncoding(t *testing.T) {
	var bits Bitmap
	for _, i := range []int{0, 7, 8, MaxTasksPerKey - 1} {
		bits.Set(i)
	}
	decoded, err := DecodeBitmap(bits.Encode())
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < MaxTasksPerKey; i++ {
		if decoded.IsSet(i) != (i == 0 || i == 7 || i == 8 || i == MaxTasksPerKey-1) {
			t.Fatalf("after encoding and decoding, bit %d is %v, want the opposite", i, decoded.IsSet(i))
		}
	}
	if id, number, ok := ParseProgressKey(ProgressKey("req-000001", 3)); !ok || id != "req-000001" || number != 3 {
		t.Fatal(id, number, ok)
	}
}

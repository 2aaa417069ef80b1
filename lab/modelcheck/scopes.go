package modelcheck

// Scopes lists small systems, which are explored completely or up to a given number of states.
var Scopes = []Scope{
	{Name: "two contents", Members: three, Rounds: 2, Ops: []Op{
		{At: "a", Revision: 5, Body: "x"}, {At: "b", Revision: 5, Body: "y"}}},
	{Name: "write and read", Members: three, Rounds: 3, Ops: []Op{
		{At: "a", Revision: 5, Body: "x"}, {At: "b", Kind: Read}}},
	{Name: "power", Members: three, Rounds: 2, Crashes: 1, Ops: []Op{
		{At: "a", Revision: 5, Body: "x"}, {At: "b", Kind: Read}}},
	{Name: "slow disks", Members: three, Rounds: 2, Crashes: 1, SlowDisks: true, Ops: []Op{
		{At: "a", Revision: 5, Body: "x"}}},
	{Name: "disk lost", Members: three, Rounds: 2, Wipes: 1, Ops: []Op{
		{At: "a", Revision: 5, Body: "x"}}},
	{Name: "replacement", Members: three, Spare: []string{"d"}, Rounds: 3, Ops: []Op{
		{At: "a", Kind: ReplaceMember, Out: "c", In: "d"}, {At: "d", Revision: 5, Body: "x"}}},
	{Name: "replacement and a write beside it", Members: three, Spare: []string{"d"}, Rounds: 3, Ops: []Op{
		{At: "a", Kind: ReplaceMember, Out: "c", In: "d"}, {At: "b", Revision: 5, Body: "x"}}},
	{Name: "late answers", Members: three, Rounds: 2, Crashes: 1, LateAnswers: true, Ops: []Op{
		{At: "a", Kind: Read}, {At: "b", Revision: 5, Body: "x"}, {At: "a", Kind: Read}}},
	{Name: "first start, two ended early", Members: three, Unformed: []string{"b", "c"}, Rounds: 2, Crashes: 1, Ops: []Op{
		{At: "a", Revision: 5, Body: "x"}, {At: "b", Revision: 5, Body: "y"}}},
	{Name: "first start, all ended early", Members: three, Unformed: three, Rounds: 2, Ops: []Op{
		{At: "a", Revision: 5, Body: "x"}, {At: "b", Revision: 5, Body: "y"}}},
	{Name: "first start, ends at any moment", Members: three, Unsaved: true, SlowDisks: true, Rounds: 2, Crashes: 2, Ops: []Op{
		{At: "a", Revision: 5, Body: "x"}, {At: "b", Kind: Read}}},
	{Name: "first start and a disk lost", Members: three, Unformed: []string{"c"}, Rounds: 2, Wipes: 1, Ops: []Op{
		{At: "a", Revision: 5, Body: "x"}, {At: "b", Kind: Read}}},
	{Name: "first start, other lists", Members: three, Unformed: three, Rounds: 2, Crashes: 1,
		Lists: map[string][]string{"a": {"a", "b"}, "b": {"b", "c"}, "c": {"a", "c"}}, Ops: []Op{
			{At: "a", Revision: 5, Body: "x"}, {At: "c", Revision: 5, Body: "y"}}},
	{Name: "two disks lost at once", Members: three, Rounds: 2, Budget: 2, Wipes: 2, Ops: []Op{
		{At: "b", Revision: 5, Body: "x"}}},
	{Name: "machines added later", Members: three, Spare: []string{"d", "e"}, Rounds: 2,
		Lists: map[string][]string{"a": three, "b": three, "c": three, "d": {"d", "e"}, "e": {"d", "e"}}, Ops: []Op{
			{At: "a", Revision: 5, Body: "x"}, {At: "d", Revision: 5, Body: "y"}}},
	{Name: "two contents, five disks", Members: five, Rounds: 2, Ops: []Op{
		{At: "a", Revision: 5, Body: "x"}, {At: "b", Revision: 5, Body: "y"}}},
}

var (
	three = []string{"a", "b", "c"}
	five  = []string{"a", "b", "c", "d", "e"}
)

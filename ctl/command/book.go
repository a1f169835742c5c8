package command

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"galenadyke.dev/ctl/client"
	"github.com/google/subcommands"
)

// bookCommand gets a booking id, unless one is given, and runs one booking.
type bookCommand struct {
	env       Environment
	flags     callFlags
	bookingID string
}

func (*bookCommand) Name() string     { return "book" }
func (*bookCommand) Synopsis() string { return "run a booking through an instance, at most once" }
func (*bookCommand) Usage() string {
	return `book --instance ADDRESS --route NAME [--booking JSON] [--deadline 2s] [--booking-id ID] [--json]
  Get a booking id and run one booking with it. If the outcome is unknown,
  repeat the command with --booking-id and the same booking: it never runs
  twice.
  Exit code 1: the booking did not run, or its outcome is unknown.
`
}

func (c *bookCommand) SetFlags(f *flag.FlagSet) {
	c.flags.register(f, "booking", defaultBookingDeadline)
	f.StringVar(&c.bookingID, "booking-id", "", "id of an earlier call to repeat")
}

func (c *bookCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cl, booking, err := c.flags.prepare(f, c.env.Stdin)
	if err != nil {
		return c.env.usageError(c, "%v", err)
	}
	defer cl.Close()
	id := c.bookingID
	if id == "" {
		ids, err := cl.BookingIDs(ctx, 1)
		if err != nil {
			return c.env.failCall(c, bookingIDError(err), c.flags.json, "")
		}
		id = ids.IDs[0]
	}
	answer, err := cl.Book(ctx, c.flags.requestID, client.BookRequest{
		Route: c.flags.route, BookingID: id, Booking: booking, DeadlineMS: c.flags.deadline.Milliseconds(),
	})
	if err != nil {
		return c.failBooking(err, id)
	}
	if c.flags.json {
		err = c.env.printJSON(answer)
	} else {
		err = c.print(answer)
	}
	if err != nil {
		return c.env.fail(c, err)
	}
	return subcommands.ExitSuccess
}

// bookingIDError returns the error of a call for a booking id, marked as not run:
// whether or not an id was issued, no booking was sent.
func bookingIDError(err error) error {
	var callErr *client.Error
	if !errors.As(err, &callErr) {
		return err
	}
	notRun := *callErr
	notRun.Execution = client.NotRun
	notRun.Message = "get a booking id: " + notRun.Message
	return &notRun
}

// failBooking prints the error of a booking and, if the outcome is unknown, how
// to learn it.
func (c *bookCommand) failBooking(err error, id string) subcommands.ExitStatus {
	status := c.env.failCall(c, err, c.flags.json, id)
	var callErr *client.Error
	if errors.As(err, &callErr) && callErr.Execution == client.Unknown && !c.flags.json {
		fmt.Fprintf(c.env.Stdout, "the booking may have run; repeat the command with --booking-id %s to learn its outcome\n",
			makePrintable(id))
	}
	return status
}

func (c *bookCommand) print(a *client.BookAnswer) error {
	t := newTable(c.env.Stdout, "EXECUTION", "BOOKING ID", "TARGET", "REPEAT", "ELAPSED", "RESULT")
	t.row(string(a.Execution), a.BookingID, a.Target, yesNo(a.Repeat), fmt.Sprintf("%.1f ms", a.ElapsedMS),
		shorten(string(a.Result), maxCellRunes))
	return t.flush()
}

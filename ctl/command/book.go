package command

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"galenadyke.dev/ctl/client"
	"github.com/google/subcommands"
)

// bookCommand gets a booking id and runs one booking.
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
	cl, booking, err := c.flags.open(f, c.env.Stdin)
	if err != nil {
		return c.env.usage(c, "%v", err)
	}
	defer cl.Close()
	id := c.bookingID
	if id == "" {
		ids, err := cl.BookingIDs(ctx, 1)
		if err != nil {
			return c.env.failCall(c, idError(err), c.flags.json, "")
		}
		id = ids.IDs[0]
	}
	answer, err := cl.Book(ctx, c.flags.requestID, client.BookRequest{
		Route: c.flags.route, BookingID: id, Booking: booking, DeadlineMS: c.flags.deadline.Milliseconds(),
	})
	if err != nil {
		return c.fail(err, id)
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

// idError says that a booking without an id was not run, whatever happened to
// the call for the id.
func idError(err error) error {
	var callErr *client.Error
	if !errors.As(err, &callErr) {
		return err
	}
	changed := *callErr
	changed.Execution = client.NotRun
	changed.Message = "get a booking id: " + changed.Message
	return &changed
}

// fail prints the error and how to find out an unknown outcome.
func (c *bookCommand) fail(err error, id string) subcommands.ExitStatus {
	status := c.env.failCall(c, err, c.flags.json, id)
	var callErr *client.Error
	if errors.As(err, &callErr) && callErr.Execution == client.Unknown && !c.flags.json {
		fmt.Fprintf(c.env.Stdout, "the booking may have run; repeat the command with --booking-id %s to learn its outcome\n",
			printable(id))
	}
	return status
}

func (c *bookCommand) print(a *client.BookAnswer) error {
	t := newTable(c.env.Stdout, "EXECUTION", "BOOKING ID", "TARGET", "REPEAT", "ELAPSED", "RESULT")
	t.row(string(a.Execution), a.BookingID, a.Target, yesNo(a.Repeat), fmt.Sprintf("%.1f ms", a.ElapsedMS),
		shorten(string(a.Result), maxCell))
	return t.flush()
}

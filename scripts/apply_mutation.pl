#!/usr/bin/perl
# Applies one mutation to the tree in the current folder. A mutation is a text file:
#   test NAME        the test program that must fail
#   expect REGEX     what it must print
#   file PATH        then one or more blocks of exact old and new text:
#   <<<<
#   old
#   ====
#   new
#   >>>>
# Old text that is not there exactly once is an error.
use strict;
use warnings;

my ($path) = @ARGV;
open(my $in, '<', $path) or die "$path: $!\n";
my ($file, $part, %text);
while (my $line = <$in>) {
    if (defined $part) {
        if ($line eq "====\n") { $part = 'new'; next }
        if ($line eq ">>>>\n") { replace(); undef $part; next }
        $text{$part} .= $line;
    } elsif ($line =~ /^file (\S+)$/) {
        $file = $1;
    } elsif ($line eq "<<<<\n") {
        $part = 'old';
        %text = (old => '', new => '');
    } elsif ($line !~ /^(test|expect|#)/ && $line =~ /\S/) {
        die "$path: line not understood: $line";
    }
}

sub replace {
    open(my $source, '<', $file) or die "$path: $file: $!\n";
    my $content = do { local $/; <$source> };
    my $count = () = $content =~ /\Q$text{old}\E/g;
    die "$path: the old text stands $count times in $file\n" if $count != 1;
    $content =~ s/\Q$text{old}\E/$text{new}/;
    open(my $out, '>', $file) or die "$path: $file: $!\n";
    print $out $content;
    close($out) or die "$path: $file: $!\n";
}
